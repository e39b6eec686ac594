#include "fuzz/decoders.hpp"

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

// Guards against a process that ends because of what it reads. The test has
// failed if it does not return. It reads the corpus and a fixed series of
// mutations of it, so that its verdict is the same in each run.

namespace sequoiaroute::fuzz {
namespace {

constexpr std::uint32_t seed = 17;
constexpr int mutations_per_document = 40;
constexpr int max_edits = 4;

/// Fragments that have made decoders fail.
constexpr std::array<std::string_view, 14> fragments{"9223372036854775808",
                                                     "1e300",
                                                     "1e400",
                                                     "-1",
                                                     "70000",
                                                     "null",
                                                     "[]",
                                                     "{}",
                                                     "\"\"",
                                                     "true",
                                                     "\xff\xfe",
                                                     "\\u0000",
                                                     "0",
                                                     "-0.0e-5"};

std::vector<std::string> read_corpus()
{
    std::vector<std::filesystem::path> paths;
    for (auto const& file : std::filesystem::directory_iterator(CORPUS))
        paths.push_back(file.path());
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> documents;
    for (auto const& path : paths) {
        std::ifstream stream(path, std::ios::binary);
        std::ostringstream text;
        text << stream.rdbuf();
        documents.push_back(text.str());
    }
    return documents;
}

/// @return documents that are too large to keep in files
std::vector<std::string> large_documents()
{
    constexpr std::size_t depth = 100'000;
    std::string objects;
    for (std::size_t level = 0; level < depth; ++level)
        objects += "{\"a\":";
    return {std::string(depth, '['),
            std::string(depth, '[') + std::string(depth, ']'),
            std::move(objects),
            std::string(depth, '\x91'),
            std::string(depth, '"'),
            std::string(depth, '9')};
}

std::string mutate(std::string text, std::mt19937& random)
{
    // Not std::uniform_int_distribution, whose results may differ between
    // libraries.
    auto const below = [&](std::size_t end) { return random() % end; };
    auto const edits = 1 + below(max_edits);
    for (std::size_t edit = 0; edit < edits; ++edit) {
        auto const position = below(text.size() + 1);
        switch (below(4)) {
        case 0:
            text.insert(position, fragments[below(fragments.size())]);
            break;
        case 1:
            text.erase(position, below(8));
            break;
        case 2:
            if (position < text.size())
                text[position] = static_cast<char>(below(256));
            break;
        default:
            text.replace(
                position,
                std::min<std::size_t>(below(6), text.size() - position),
                fragments[below(fragments.size())]);
        }
    }
    return text;
}

class decoders_test : public testing::TestWithParam<decoder>
{
};

TEST_P(decoders_test, reads_anything)
{
    for (auto const& document : large_documents())
        GetParam().read(document);
    std::mt19937 random(seed);
    for (auto const& document : read_corpus()) {
        GetParam().read(document);
        for (int count = 0; count < mutations_per_document; ++count)
            GetParam().read(mutate(document, random));
    }
}

INSTANTIATE_TEST_SUITE_P(fuzz, decoders_test, testing::ValuesIn(decoders()),
                         [](auto const& test) { return test.param.name; });

} // namespace
} // namespace sequoiaroute::fuzz
