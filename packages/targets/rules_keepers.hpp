#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// The agents that keep a copy of the rules for this entry, chosen by
/// rendezvous hash so that a restarted entry chooses the same ones.
class rules_keepers
{
public:
    /// @param entry_id the id of this entry
    /// @param count how many agents keep a copy
    rules_keepers(std::string entry_id, std::size_t count);

    /// Chooses among the targets that are live.
    /// @param target_ids their ids
    void choose(std::vector<std::string> const& target_ids);

    /// Tells whether the rules go along with the answer to a report. A copy
    /// is sent again after a while, because the answer may have been lost.
    /// @param target_id the agent's target
    /// @param incarnation the agent's incarnation
    /// @param generation the generation in force
    /// @param now the current time
    /// @return true if the rules are to be sent; counts as sent
    bool take_turn(std::string_view target_id, std::string_view incarnation,
                   std::uint64_t generation, core::time_point now);

    /// @return the ids of the keepers
    std::vector<std::string> keepers() const;

private:
    struct sent_copy
    {
        std::string incarnation;
        std::uint64_t generation = 0;
        core::time_point sent_at;
    };

    std::string entry_id_;
    std::size_t count_;
    mutable std::mutex mutex_;
    std::map<std::string, sent_copy, std::less<>> keepers_;
};

} // namespace sequoiaroute::targets
