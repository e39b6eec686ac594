#pragma once

#include "core/codec.hpp"
#include "core/result.hpp"
#include "policy/rules.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::operators {

/// The value of the row rules/current in the table.
struct stored_rules
{
    std::uint64_t generation = 0;
    std::string digest; ///< of the text
    std::string author; ///< the operator who applied the rules
    std::string text;   ///< the rule file

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(stored_rules, generation, digest, author,
                                   text)
};

/// Body of the message `rules` and of its answer. A request without rules asks
/// for the rules of the receiver if their generation is higher.
struct rules_message
{
    std::uint64_t generation = 0; ///< in force at the sender
    std::string author;           ///< empty if unknown
    std::string rules;            ///< rule_set as JSON; empty if it is not sent

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(rules_message, generation,
                                                author, rules)
};

/// Checks the digest of stored rules and parses their text.
/// @param stored the value of the row
/// @return the rules with their generation, or bad_rules if they are corrupt
core::result<policy::rule_set> parse_stored_rules(stored_rules const& stored);

/// Parses a rule_set from JSON. Its text is parsed again and compared with the
/// customers, so that a corrupt copy is not installed.
/// @param document the JSON text
/// @return the rules with their generation, or an error if they are corrupt
core::result<policy::rule_set> parse_rules_document(std::string_view document);

} // namespace sequoiaroute::operators
