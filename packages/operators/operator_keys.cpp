#include "operators/operator_keys.hpp"

#include "core/identifier.hpp"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace sequoiaroute::operators {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

core::error error_at(std::string_view file_name, std::size_t line,
                     std::string_view message)
{
    return {core::result_code::bad_settings,
            fmt::format("{}:{}: {}", file_name, line, message)};
}

} // namespace

core::result<operator_keys> operator_keys::create(std::string const& path)
{
    std::ifstream file(path);
    if (!file) {
        return core::error{core::result_code::bad_settings,
                           fmt::format("{}: cannot be read", path)};
    }
    std::stringstream content;
    content << file.rdbuf();
    return create_from_text(path, content.str());
}

core::result<operator_keys>
operator_keys::create_from_text(std::string_view file_name,
                                std::string_view text)
{
    operator_keys keys;
    std::istringstream lines{std::string(text)};
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream words(line);
        operator_key parsed;
        std::string extra_word;
        if (!(words >> parsed.name >> parsed.key) || words >> extra_word)
            return error_at(file_name, number, "is not \"NAME KEY\"");
        if (!core::is_identifier(parsed.name))
            return error_at(file_name, number, "the name is not an identifier");
        keys.keys_.push_back(std::move(parsed));
    }
    return keys;
}

std::optional<std::string>
operator_keys::find_operator(std::string_view authorization) const
{
    if (!authorization.starts_with(bearer_prefix))
        return std::nullopt;
    auto const key = authorization.substr(bearer_prefix.size());
    std::optional<std::string> found;
    for (auto const& candidate : keys_) {
        if (core::is_equal_constant_time(candidate.key, key))
            found = candidate.name;
    }
    return found;
}

} // namespace sequoiaroute::operators
