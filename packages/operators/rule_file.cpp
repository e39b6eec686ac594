#include "operators/rule_file.hpp"

#include "operators/rule_line.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <vector>

#include <fmt/format.h>

namespace sequoiaroute::operators {

namespace {

/// A key with a number as its value.
struct numeric_key
{
    std::string_view name;
    int min_value;    ///< inclusive
    int max_value;    ///< inclusive
    int* destination; ///< receives the parsed number
    bool is_required = false;
};

core::error unknown_key(rule_line const& line, rule_setting const& setting)
{
    return line.location.error_at(
        setting.key.column,
        fmt::format("unknown key {} for {}", setting.key.text, line.kind.text));
}

core::status check_required_keys(rule_line const& line,
                                 std::span<numeric_key const> keys)
{
    for (auto const& key : keys) {
        auto const is_given = std::any_of(
            line.settings.begin(), line.settings.end(),
            [&](auto const& setting) { return setting.key.text == key.name; });
        if (key.is_required && !is_given) {
            return line.location.error_at(
                line.kind.column,
                fmt::format("{} needs the key {}", line.kind.text, key.name));
        }
    }
    return core::success();
}

/// Parses a setting into the destination of its key, which must be one of some
/// keys.
core::status parse_numeric_key(rule_line const& line,
                               rule_setting const& setting,
                               std::span<numeric_key const> keys)
{
    auto const key =
        std::find_if(keys.begin(), keys.end(), [&](auto const& candidate) {
            return candidate.name == setting.key.text;
        });
    if (key == keys.end())
        return unknown_key(line, setting);
    SEQUOIA_TRY_INTO(
        *key->destination,
        parse_number(line.location, setting, key->min_value, key->max_value));
    return core::success();
}

/// Parses all settings of a line, and checks that required keys are given.
core::status parse_numeric_keys(rule_line const& line,
                                std::span<numeric_key const> keys)
{
    for (auto const& setting : line.settings)
        SEQUOIA_TRY(parse_numeric_key(line, setting, keys));
    return check_required_keys(line, keys);
}

core::result<policy::adjacency> parse_adjacency(rule_line const& line,
                                                rule_setting const& setting)
{
    using policy::adjacency;
    constexpr std::array names{
        std::pair<std::string_view, adjacency>{"any", adjacency::any},
        std::pair<std::string_view, adjacency>{"data_centre",
                                               adjacency::data_centre},
        std::pair<std::string_view, adjacency>{"rack", adjacency::rack},
        std::pair<std::string_view, adjacency>{"worker", adjacency::worker}};
    for (auto const& [name, adjacency] : names) {
        if (name == setting.value.text)
            return adjacency;
    }
    return line.location.error_at(
        setting.value.column,
        fmt::format("within=\"{}\" is not any, data_centre, rack or worker",
                    setting.value.text));
}

/// Adds the customer that a line "customer" defines.
core::status add_customer(rule_line const& line, policy::rule_set& rules)
{
    policy::customer_rules customer;
    customer.customer = line.customer.text;
    std::array const keys{numeric_key{"priority", 0, 1000, &customer.priority}};
    SEQUOIA_TRY(parse_numeric_keys(line, keys));
    if (!rules.customers.emplace(customer.customer, customer).second) {
        return line.location.error_at(
            line.customer.column,
            fmt::format("customer {} is defined twice", customer.customer));
    }
    return core::success();
}

/// Sets the limits of a customer from a line "limit".
core::status set_limits(rule_line const& line, policy::customer_rules& customer)
{
    auto& limits = customer.limits;
    std::array const keys{
        numeric_key{"requests_per_second", 1, 1'000'000,
                    &limits.requests_per_second},
        numeric_key{"concurrent_requests", 1, 100'000,
                    &limits.concurrent_requests},
        numeric_key{"queued_jobs", 1, 1'000'000, &limits.queued_jobs},
        numeric_key{"accelerators", 0, 100'000, &limits.accelerators}};
    return parse_numeric_keys(line, keys);
}

/// Adds the guarantee of a line "guarantee" to a customer.
core::status add_guarantee(rule_line line, policy::customer_rules& customer)
{
    policy::guaranteed_shape shape;
    std::array const keys{numeric_key{"cells", 1, 10'000, &shape.cells, true},
                          numeric_key{"accelerators", 1, 10'000,
                                      &shape.accelerators_per_cell, true}};
    auto const within = std::find_if(
        line.settings.begin(), line.settings.end(),
        [](auto const& setting) { return setting.key.text == "within"; });
    if (within != line.settings.end()) {
        SEQUOIA_TRY_INTO(shape.within, parse_adjacency(line, *within));
        line.settings.erase(within);
    }
    SEQUOIA_TRY(parse_numeric_keys(line, keys));
    customer.guarantees.push_back(shape);
    return core::success();
}

/// Applies the lines "limit" and "guarantee" to customers, all of which must be
/// defined before.
class customer_rule_reader
{
public:
    explicit customer_rule_reader(policy::rule_set& rules) : rules_(rules) {}

    core::status read(rule_line const& line)
    {
        auto const customer =
            rules_.customers.find(std::string(line.customer.text));
        if (customer == rules_.customers.end()) {
            return line.location.error_at(
                line.customer.column,
                fmt::format("unknown customer {}", line.customer.text));
        }
        if (line.kind.text == "guarantee")
            return add_guarantee(line, customer->second);
        if (!customers_with_limits_.insert(customer->first).second) {
            return line.location.error_at(
                line.customer.column,
                fmt::format("limits of {} are given twice", customer->first));
        }
        return set_limits(line, customer->second);
    }

private:
    policy::rule_set& rules_;
    std::set<std::string> customers_with_limits_;
};

core::status check_kind(rule_line const& line)
{
    constexpr std::array<std::string_view, 3> kinds{"customer", "limit",
                                                    "guarantee"};
    if (std::find(kinds.begin(), kinds.end(), line.kind.text) != kinds.end())
        return core::success();
    return line.location.error_at(
        line.kind.column,
        fmt::format("\"{}\" is not customer, limit or guarantee",
                    line.kind.text));
}

/// @return the rules of a file without empty lines and comments, or bad_rules
core::result<std::vector<rule_line>> parse_lines(std::string_view file_name,
                                                 std::string_view text)
{
    std::vector<rule_line> lines;
    for (std::size_t number = 1; !text.empty(); ++number) {
        auto const end = std::min(text.find('\n'), text.size());
        rule_location const location{file_name, number};
        SEQUOIA_TRY_INTO(auto line,
                         split_rule_line(location, text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!line)
            continue;
        SEQUOIA_TRY(check_kind(*line));
        lines.push_back(std::move(*line));
    }
    return lines;
}

} // namespace

core::result<policy::rule_set> parse_rules(std::string_view file_name,
                                           std::string_view text)
{
    SEQUOIA_TRY_INTO(auto const lines, parse_lines(file_name, text));
    policy::rule_set rules;
    rules.text = text;
    // Limits and guarantees of a customer may precede the line that defines it,
    // so all customers are added first.
    for (auto const& line : lines) {
        if (line.kind.text == "customer")
            SEQUOIA_TRY(add_customer(line, rules));
    }
    customer_rule_reader reader(rules);
    for (auto const& line : lines) {
        if (line.kind.text != "customer")
            SEQUOIA_TRY(reader.read(line));
    }
    return rules;
}

} // namespace sequoiaroute::operators
