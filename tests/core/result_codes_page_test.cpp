#include "core/result_code.hpp"

#include <gtest/gtest.h>

#include <cctype>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

namespace sequoiaroute::core {
namespace {

constexpr int code_limit = 1000; ///< codes are below this number

std::string trim(std::string const& text)
{
    auto const first = text.find_first_not_of(' ');
    auto const last = text.find_last_not_of(' ');
    return first == std::string::npos ? ""
                                      : text.substr(first, last - first + 1);
}

std::vector<std::string> split_cells(std::string const& line)
{
    std::vector<std::string> cells;
    std::istringstream stream(line.substr(1));
    std::string cell;
    while (std::getline(stream, cell, '|'))
        cells.push_back(trim(cell));
    return cells;
}

bool is_code_row(std::string const& line)
{
    return line.starts_with("| ") && line.size() > 2 &&
           std::isdigit(static_cast<unsigned char>(line[2])) != 0;
}

/// The cells of each row of the table on the page, by the number of the code.
using page_rows = std::map<int, std::vector<std::string>>;

page_rows read_page()
{
    page_rows rows;
    std::ifstream page(RESULT_CODES_PAGE);
    std::string line;
    while (std::getline(page, line)) {
        if (!is_code_row(line))
            continue;
        auto cells = split_cells(line);
        auto const number = std::stoi(cells[0]);
        EXPECT_TRUE(rows.emplace(number, std::move(cells)).second)
            << "listed twice: " << number;
    }
    return rows;
}

// Guards against a page that lacks a code, lists one that does not exist, or
// states a name, HTTP status or exit status that differs from the code.
TEST(result_codes_page, agrees_with_code)
{
    auto const rows = read_page();
    std::size_t code_count = 0;
    for (int number = 0; number < code_limit; ++number) {
        auto const code = static_cast<result_code>(number);
        if (name(code) == "unknown_code") {
            EXPECT_FALSE(rows.contains(number)) << number;
            continue;
        }
        ++code_count;
        ASSERT_TRUE(rows.contains(number)) << number << " is not listed";
        auto const& cells = rows.at(number);
        ASSERT_EQ(cells.size(), 6U) << number;
        EXPECT_EQ(cells[1], name(code));
        EXPECT_EQ(cells[2], std::to_string(http_status(code))) << number;
        EXPECT_EQ(cells[3], std::to_string(exit_status(code))) << number;
        EXPECT_FALSE(cells[4].empty()) << number;
        EXPECT_FALSE(cells[5].empty()) << number;
    }
    EXPECT_EQ(code_count, rows.size());
    EXPECT_GT(code_count, 30U);
}

// Guards against an enumerator that both the page and name() lack, which the
// test above cannot detect.
TEST(result_codes_page, lists_every_enumerator)
{
    auto const rows = read_page();
    std::ifstream header(RESULT_CODES_HEADER);
    std::regex const enumerator(R"(^ +(\w+) = (\d+),)");
    std::size_t enumerator_count = 0;
    std::string line;
    while (std::getline(header, line)) {
        std::smatch match;
        if (!std::regex_search(line, match, enumerator))
            continue;
        ++enumerator_count;
        auto const row = rows.find(std::stoi(match[2]));
        ASSERT_NE(row, rows.end()) << line;
        EXPECT_EQ(row->second[1], match[1]);
    }
    EXPECT_EQ(enumerator_count, rows.size());
}

} // namespace
} // namespace sequoiaroute::core
