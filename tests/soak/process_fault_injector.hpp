#pragma once

#include "soak/fault_schedule.hpp"

#include <vector>

namespace sequoiaroute::soak {

/// Injects faults of processes and of the store at the moments that matter for
/// leases: right after a commit, and near the ends of the times after which
/// agents and the decider give a run up.
class process_fault_injector
{
public:
    /// @param random decides on the faults
    /// @param system the system under test; must outlive this object
    /// @param schedule ends the faults; must outlive this object
    process_fault_injector(random_source& random, test_system& system,
                           fault_schedule& schedule)
        : random_(random), system_(system), schedule_(schedule)
    {
    }

    /// Injects a random fault.
    void inject();

    /// Drops the faults that wait for a commit.
    void heal();

private:
    using process_group = std::vector<system_process>;

    using commit_filter = bool (*)(rows::transaction const&);

    /// Disturbs a process right after its next commit that passes a filter.
    void disturb_after_commit(system_process& target, commit_filter is_awaited);
    /// Cuts an agent off from the store for about as long as a time limit, and
    /// disturbs it or the decider near the end.
    void isolate_agent(system_process& agent);
    void isolate_agents();
    void freeze_agent();
    void kill_group(process_group& group, std::string const& kind);
    /// Makes the store turn away all entries or all agents, and may drop its
    /// history meanwhile.
    void turn_away_group();
    /// Kills or freezes a process, stops it gracefully, or cuts it off from the
    /// store.
    void disturb(system_process& target);
    /// Makes a process lose the store, or only the responses to its writes.
    void isolate(system_process& target, core::duration duration);
    system_process& pick_agent();
    /// @return about the time after which an agent stops to extend leases or
    ///         ends its session, or the decider takes an agent as lost
    core::duration pick_time_limit();

    random_source& random_;
    test_system& system_;
    fault_schedule& schedule_;
};

} // namespace sequoiaroute::soak
