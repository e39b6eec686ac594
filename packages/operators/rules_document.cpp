#include "operators/rules_document.hpp"

#include "core/identifier.hpp"
#include "operators/rule_file.hpp"

#include <fmt/format.h>

namespace sequoiaroute::operators {

core::result<policy::rule_set> parse_stored_rules(stored_rules const& stored)
{
    if (core::digest(stored.text) != stored.digest) {
        return core::error{core::result_code::bad_rules,
                           fmt::format("rules of generation {} do not match "
                                       "their digest",
                                       stored.generation)};
    }
    SEQUOIA_TRY_INTO(auto rules, parse_rules("rules", stored.text));
    rules.generation = stored.generation;
    return rules;
}

core::result<policy::rule_set> parse_rules_document(std::string_view document)
{
    SEQUOIA_TRY_INTO(auto const json, core::parse_json(document));
    SEQUOIA_TRY_INTO(auto const received,
                     core::message_from<policy::rule_set>(json));
    SEQUOIA_TRY_INTO(auto rules, parse_rules("rules", received.text));
    if (rules.customers != received.customers) {
        return core::error{core::result_code::bad_rules,
                           "the customers of the copy do not match its text"};
    }
    rules.generation = received.generation;
    return rules;
}

} // namespace sequoiaroute::operators
