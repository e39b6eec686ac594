#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// The agents that keep a copy of the rules of this entry (keepers). They are
/// selected by rendezvous hashing, so that a restarted entry selects the same
/// ones. Thread-safe.
class rules_keepers
{
public:
    /// @param entry_id the id of this entry
    /// @param count the number of keepers
    rules_keepers(std::string entry_id, std::size_t count);

    /// Selects the keepers anew. Targets that stay keepers are not sent the
    /// same copy again.
    /// @param target_ids the ids of all candidates
    void select(std::vector<std::string> const& target_ids);

    /// Decides whether the answer to an agent's report includes the rules, and
    /// if so marks them as sent. Unchanged rules are sent again after a resend
    /// period, because an answer may be lost.
    /// @param target_id the target of the agent
    /// @param incarnation the incarnation of the agent
    /// @param generation the rules generation in force, 0 if there is none
    /// @param now the current time
    /// @return true if the target is a keeper and its copy is due
    bool mark_sent_if_due(std::string_view target_id,
                          std::string_view incarnation,
                          std::uint64_t generation, core::time_point now);

    /// @return the target ids of the keepers
    std::vector<std::string> keepers() const;

private:
    /// The copy of the rules that was last sent to a keeper.
    struct sent_copy
    {
        std::string incarnation;
        std::uint64_t generation = 0;
        core::time_point sent_at;
    };

    std::string entry_id_;
    std::size_t count_;
    mutable std::mutex mutex_;
    std::map<std::string, sent_copy, std::less<>> keepers_; ///< by target id
};

} // namespace sequoiaroute::targets
