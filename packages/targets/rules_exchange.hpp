#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::targets {

/// The rules of this entry as seen by the membership, which sends their
/// generation to other processes and passes on the generations it receives.
class rules_exchange
{
public:
    virtual ~rules_exchange() = default;

    /// @return the rules generation in force at this entry, 0 if there is none
    virtual std::uint64_t rules_generation() const = 0;

    /// @return the rule_set in force as JSON text, for keeper agents
    virtual std::string rules_document() const = 0;

    /// @return the time since the last successful read of the table
    virtual core::duration table_age() const = 0;

    /// Records that another process has seen a rules generation.
    /// @param generation the generation
    /// @param address where the rules can be fetched, IP:PORT
    virtual void record_generation(std::uint64_t generation,
                                   std::string_view address) = 0;

    /// Records that another entry answered a request of this entry, which
    /// confirms the rules while the table is unavailable.
    /// @param generation the generation in force at the other entry
    /// @param address the peer address of the other entry, IP:PORT
    /// @param requested_at when the request was sent
    virtual void record_peer_answer(std::uint64_t generation,
                                    std::string_view address,
                                    core::time_point requested_at) = 0;
};

} // namespace sequoiaroute::targets
