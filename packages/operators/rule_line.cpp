#include "operators/rule_line.hpp"

#include "core/identifier.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace sequoiaroute::operators {

namespace {

constexpr std::string_view whitespace = " \t\r";
constexpr std::string_view requester_prefix = "asked for by ";

std::vector<rule_word> split_words(std::string_view text)
{
    std::vector<rule_word> words;
    std::size_t begin = text.find_first_not_of(whitespace);
    while (begin != std::string_view::npos) {
        auto const end =
            std::min(text.find_first_of(whitespace, begin), text.size());
        words.push_back({text.substr(begin, end - begin), begin + 1});
        begin = text.find_first_not_of(whitespace, end);
    }
    return words;
}

/// @return the comment without '#' and whitespace around it
std::string_view trim_comment(std::string_view comment)
{
    auto const begin = comment.find_first_not_of("# \t\r");
    if (begin == std::string_view::npos)
        return {};
    auto const end = comment.find_last_not_of(whitespace);
    return comment.substr(begin, end - begin + 1);
}

/// @return whether a comment is "# asked for by NAME"
bool names_requester(std::string_view comment)
{
    auto const text = trim_comment(comment);
    return text.size() > requester_prefix.size() &&
           text.starts_with(requester_prefix);
}

core::result<rule_setting> split_setting(rule_location location, rule_word word)
{
    auto const equals = word.text.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return location.error_at(
            word.column, fmt::format("\"{}\" is not key=value", word.text));
    }
    return rule_setting{
        {word.text.substr(0, equals), word.column},
        {word.text.substr(equals + 1), word.column + equals + 1}};
}

core::status add_setting(rule_line& line, rule_word word)
{
    SEQUOIA_TRY_INTO(auto setting, split_setting(line.location, word));
    auto const is_same = [&](rule_setting const& other) {
        return other.key.text == setting.key.text;
    };
    if (std::any_of(line.settings.begin(), line.settings.end(), is_same)) {
        return line.location.error_at(
            word.column,
            fmt::format("key {} is given twice", setting.key.text));
    }
    line.settings.push_back(setting);
    return core::success();
}

} // namespace

core::error rule_location::error_at(std::size_t column,
                                    std::string_view message) const
{
    return {core::result_code::bad_rules,
            fmt::format("{}:{}:{}: {}", file_name, line, column, message)};
}

core::result<std::optional<rule_line>> split_rule_line(rule_location location,
                                                       std::string_view text)
{
    auto const comment_begin = std::min(text.find('#'), text.size());
    auto const words = split_words(text.substr(0, comment_begin));
    if (words.empty())
        return std::optional<rule_line>();
    if (!names_requester(text.substr(comment_begin))) {
        return location.error_at(
            comment_begin + 1,
            "the rule needs a comment \"# asked for by NAME\"");
    }
    rule_line line{location, words[0], {}, {}};
    if (words.size() < 2) {
        return location.error_at(words[0].column + words[0].text.size(),
                                 "the name of the customer is missing");
    }
    line.customer = words[1];
    if (!core::is_identifier(line.customer.text)) {
        return location.error_at(
            line.customer.column,
            fmt::format("\"{}\" is not a customer's name", line.customer.text));
    }
    for (auto word = words.begin() + 2; word != words.end(); ++word)
        SEQUOIA_TRY(add_setting(line, *word));
    return std::optional(std::move(line));
}

core::result<int> parse_number(rule_location location,
                               rule_setting const& setting, int min_value,
                               int max_value)
{
    auto const text = setting.value.text;
    int number = 0;
    auto const* const end = text.data() + text.size();
    auto const outcome = std::from_chars(text.data(), end, number);
    bool const is_number = outcome.ec == std::errc() && outcome.ptr == end;
    if (!is_number || number < min_value || number > max_value) {
        return location.error_at(
            setting.value.column,
            fmt::format("{}=\"{}\" is not a number from {} to "
                        "{}",
                        setting.key.text, text, min_value, max_value));
    }
    return number;
}

} // namespace sequoiaroute::operators
