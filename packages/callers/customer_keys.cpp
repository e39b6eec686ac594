#include "callers/customer_keys.hpp"

#include "core/identifier.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace sequoiaroute::callers {

namespace {

using core::result_code;

constexpr std::string_view bearer_prefix = "Bearer ";

core::error line_error(std::string_view file, int line_number,
                       std::string_view text)
{
    return {result_code::bad_settings,
            fmt::format("{}:{}: {}", file, line_number, text)};
}

} // namespace

core::result<customer_keys> customer_keys::create(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return core::error{result_code::bad_settings,
                           fmt::format("cannot read keys from {}", path)};
    }
    return create_from_text(path, text.str());
}

core::result<customer_keys>
customer_keys::create_from_text(std::string_view file_name,
                                std::string_view text)
{
    customer_keys keys;
    std::istringstream lines{std::string(text)};
    std::string line_text;
    for (int line_number = 1; std::getline(lines, line_text); ++line_number) {
        std::istringstream words(line_text);
        key_record record;
        std::string excess;
        if (!(words >> record.customer) || record.customer.starts_with('#'))
            continue;
        if (!(words >> record.key) || words >> excess)
            return line_error(file_name, line_number,
                              "expected \"CUSTOMER KEY\"");
        if (!core::is_identifier(record.customer))
            return line_error(file_name, line_number,
                              "the customer is not an id");
        auto const is_duplicate =
            std::ranges::any_of(keys.records_, [&](auto const& other) {
                return other.key == record.key;
            });
        if (is_duplicate)
            return line_error(file_name, line_number, "duplicate key");
        keys.records_.push_back(std::move(record));
    }
    return keys;
}

core::result<std::string>
customer_keys::authenticate(std::string_view authorization) const
{
    core::error const refusal{result_code::unauthorized,
                              "the key does not belong to a customer"};
    if (!authorization.starts_with(bearer_prefix))
        return refusal;
    authorization.remove_prefix(bearer_prefix.size());
    key_record const* match = nullptr;
    // All keys are compared in constant time, so that the response time does
    // not reveal which one matched.
    for (auto const& record : records_) {
        if (core::is_equal_constant_time(record.key, authorization))
            match = &record;
    }
    if (match == nullptr)
        return refusal;
    return match->customer;
}

} // namespace sequoiaroute::callers
