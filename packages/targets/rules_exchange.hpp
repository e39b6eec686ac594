#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::targets {

/// What the membership tells others of this entry's rules, and what it learns
/// of theirs.
class rules_exchange
{
public:
    virtual ~rules_exchange() = default;

    /// @return the generation in force at this entry, 0 if there is none
    virtual std::uint64_t rules_generation() const = 0;

    /// @return the rule_set in force as JSON text, for keeper agents
    virtual std::string rules_document() const = 0;

    /// @return the time since the table was last read with success
    virtual core::duration table_age() const = 0;

    /// Notes that another process has seen a generation.
    /// @param generation the generation that it has seen
    /// @param address where its rules can be fetched, IP:PORT
    virtual void record_generation(std::uint64_t generation,
                                   std::string_view address) = 0;

    /// Notes that an entry answered a question of this entry, which confirms
    /// the rules while the table is unavailable.
    /// @param generation the generation in force at that entry
    /// @param address the entry's address between processes
    /// @param asked_at when the question was sent
    virtual void record_peer_answer(std::uint64_t generation,
                                    std::string_view address,
                                    core::time_point asked_at) = 0;
};

} // namespace sequoiaroute::targets
