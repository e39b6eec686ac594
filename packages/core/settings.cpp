#include "core/settings.hpp"

#include "core/address.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

#include <fmt/format.h>
#include <ini.h>

namespace sequoiaroute::core {

namespace {

struct unit
{
    std::string_view name;
    std::int64_t factor; ///< in milliseconds or bytes
};

constexpr unit time_units[] = {
    {"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}};
constexpr unit size_units[] = {
    {"B", 1}, {"KB", 1000}, {"MB", 1'000'000}, {"GB", 1'000'000'000}};

/// Parses an integer that is not negative.
std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const outcome = std::from_chars(text.data(), end, number);
    if (outcome.ec != std::errc() || outcome.ptr != end || number < 0)
        return std::nullopt;
    return number;
}

/// Parses a decimal number that is not negative, such as "2" or "1.5".
std::optional<double> parse_decimal(std::string_view text)
{
    double number = 0;
    auto const* const end = text.data() + text.size();
    auto const outcome =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (outcome.ec != std::errc() || outcome.ptr != end || number < 0)
        return std::nullopt;
    return number;
}

/// Parses a decimal number that is followed by one of the units.
/// @return the number in the smallest unit, rounded to an integer
template <std::size_t Count>
std::optional<std::int64_t> parse_with_unit(std::string_view text,
                                            unit const (&units)[Count])
{
    auto const digits_end = text.find_first_not_of("0123456789.");
    if (digits_end == std::string_view::npos)
        return std::nullopt;
    auto const number = parse_decimal(text.substr(0, digits_end));
    if (!number)
        return std::nullopt;
    auto const unit_name = text.substr(digits_end);
    for (auto const& candidate : units) {
        if (candidate.name == unit_name) {
            return std::llround(*number *
                                static_cast<double>(candidate.factor));
        }
    }
    return std::nullopt;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        auto const end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

std::string_view trim(std::string_view text)
{
    auto const begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool is_address(std::string_view text)
{
    return parse_address(text).has_value();
}

std::vector<std::string> split_addresses(std::string_view text)
{
    std::vector<std::string> addresses;
    for (auto const part : split(text, ',')) {
        if (auto const address = trim(part); !address.empty())
            addresses.emplace_back(address);
    }
    return addresses;
}

/// @return the error, to be appended to the text; empty if the text is valid
std::string validate(setting_type type, std::string_view text)
{
    switch (type) {
    case setting_type::text:
        return {};
    case setting_type::integer:
        return parse_integer(text) ? "" : "is not a whole number of 0 or more";
    case setting_type::decimal:
        return parse_decimal(text) ? ""
                                   : "is not a decimal number of 0 or more";
    case setting_type::time:
        return parse_with_unit(text, time_units)
                   ? ""
                   : "is not a time with unit ms, s, min or h";
    case setting_type::size:
        return parse_with_unit(text, size_units)
                   ? ""
                   : "is not a size with unit B, KB, MB or GB";
    case setting_type::address:
        return is_address(text) ? "" : "is not an address of the form IP:PORT";
    case setting_type::address_list: {
        auto const addresses = split_addresses(text);
        return std::all_of(addresses.begin(), addresses.end(), is_address)
                   ? ""
                   : "is not a list of addresses of the form IP:PORT";
    }
    }
    return "belongs to a setting of unknown type";
}

/// State of the parser between the calls of handle_key().
struct parse_state
{
    std::string_view file_name;
    std::vector<setting_description> const& descriptions;
    std::map<std::string, std::string, std::less<>> values;
    std::string error_text;
};

setting_description const*
find_description(std::vector<setting_description> const& descriptions,
                 std::string_view section, std::string_view key)
{
    auto const found = std::find_if(
        descriptions.begin(), descriptions.end(), [&](auto const& description) {
            return description.section == section && description.key == key;
        });
    return found == descriptions.end() ? nullptr : &*found;
}

/// Called by inih for each key. Returns 0 to report an error in its line.
int handle_key(void* user_data, char const* section, char const* key,
               char const* text)
{
    auto& state = *static_cast<parse_state*>(user_data);
    auto const full_key = fmt::format("{}.{}", section, key);
    auto const* const description =
        find_description(state.descriptions, section, key);
    if (description == nullptr) {
        state.error_text = fmt::format("unknown key {}", full_key);
        return 0;
    }
    if (auto const error_text = validate(description->type, text);
        !error_text.empty()) {
        state.error_text =
            fmt::format("key {}: \"{}\" {}", full_key, text, error_text);
        return 0;
    }
    if (!state.values.emplace(full_key, text).second) {
        state.error_text = fmt::format("key {} is given twice", full_key);
        return 0;
    }
    return 1;
}

} // namespace

result<settings>
settings::create(std::string const& path,
                 std::vector<setting_description> const& descriptions)
{
    std::ifstream file(path);
    if (!file) {
        return error{result_code::bad_settings,
                     fmt::format("{}: cannot be read", path)};
    }
    std::stringstream content;
    content << file.rdbuf();
    return create_from_text(path, content.str(), descriptions);
}

result<settings>
settings::create_from_text(std::string_view file_name, std::string_view text,
                           std::vector<setting_description> const& descriptions)
{
    parse_state state{file_name, descriptions, {}, {}};
    auto const line =
        ini_parse_string(std::string(text).c_str(), handle_key, &state);
    if (line != 0) {
        auto const& error_text =
            state.error_text.empty() ? "invalid INI syntax" : state.error_text;
        return error{result_code::bad_settings,
                     fmt::format("{}:{}: {}", file_name, line, error_text)};
    }
    settings settings;
    settings.values_ = std::move(state.values);
    for (auto const& description : descriptions) {
        auto const key =
            fmt::format("{}.{}", description.section, description.key);
        if (settings.values_.contains(key))
            continue;
        if (description.is_required) {
            return error{result_code::bad_settings,
                         fmt::format("{}: key {} is missing", file_name, key)};
        }
        settings.values_.emplace(key, description.default_text);
    }
    return settings;
}

std::string const& settings::text(std::string_view key) const
{
    return values_.find(key)->second;
}

std::int64_t settings::integer(std::string_view key) const
{
    return parse_integer(text(key)).value_or(0);
}

double settings::decimal(std::string_view key) const
{
    return parse_decimal(text(key)).value_or(0);
}

duration settings::time(std::string_view key) const
{
    return duration(parse_with_unit(text(key), time_units).value_or(0));
}

std::int64_t settings::size_in_bytes(std::string_view key) const
{
    return parse_with_unit(text(key), size_units).value_or(0);
}

std::vector<std::string> settings::addresses(std::string_view key) const
{
    return split_addresses(text(key));
}

} // namespace sequoiaroute::core
