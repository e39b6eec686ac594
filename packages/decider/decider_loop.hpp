#pragma once

#include "core/counters.hpp"
#include "decider/attempt_recorder.hpp"
#include "decider/decider_lease.hpp"
#include "decider/fleet_book.hpp"
#include "decider/gang_coordinator.hpp"
#include "decider/job_ledger.hpp"
#include "decider/task_runner.hpp"
#include "policy/rules_provider.hpp"
#include "policy/scheduling.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace sequoiaroute::decider {

/// Everything outside the package that the decider's loop works with.
struct decider_environment
{
    platform::object_store& objects;
    peers::link_pool& links;
    targets::target_directory& directory;
    policy::rules_provider& rules;
    policy::placement_policy& placement;
    core::clock const& clock;
    core::counters& counters;
    task_runner& placements; ///< runs placements
    task_runner& upkeep;     ///< runs everything else that blocks
};

/// The decider's loop. It does nothing while the lease is not held.
class decider_loop final
{
public:
    static constexpr core::duration round_period =
        std::chrono::milliseconds(200);
    static constexpr core::duration scan_period = std::chrono::seconds(30);
    static constexpr core::duration loss_check_period = std::chrono::seconds(1);
    /// A job is rejected only after every round of this time found that it
    /// cannot run, because a decider that has just started, or one that is cut
    /// off from a data centre, knows only a part of the fleet.
    static constexpr core::duration rejection_patience =
        std::chrono::seconds(60);

    /// @param rows the rows of the table
    /// @param lease the decider's lease
    /// @param environment everything else
    decider_loop(platform::recovering_writer& rows, decider_lease& lease,
                 decider_environment const& environment);

    /// Runs a round if one is due. Calls must not overlap.
    void tick();

    /// Makes the next tick run a round.
    void wake() { is_woken_ = true; }

    /// Takes the report of an agent about a member.
    /// @return ok once the agent may forget it; still_running, not_ready or
    ///         store_unavailable if it must be repeated
    core::result_code handle_report(peers::member_report const& report);

    /// Reads a job that another entry has changed.
    /// @param job_id the job; empty if many have changed
    core::status handle_change(std::string_view job_id);

    /// @return what a job waits for, empty if unknown
    std::string note(std::string_view job_id) const;

    /// @return the open jobs and the quarantined workers
    core::json dump() const;

private:
    bool is_round_due();
    bool follow_lease();
    bool scan(bool is_recovery, std::uint64_t term);
    void maintain_jobs();
    void place_jobs();
    void carry_out(fleet_snapshot const& snapshot,
                   policy::decision const& decision);
    void carry_out(fleet_snapshot const& snapshot,
                   policy::placement const& placement);
    void carry_out(policy::eviction const& eviction);
    /// @return the time that a victim gets for the sake of a waiting owner
    core::duration grace_for(std::string_view owner_id);
    void carry_out(std::vector<policy::rejection> const& rejections,
                   std::map<std::string, std::string, std::less<>>& notes);
    void post(task_runner& runner, job_ledger::job_pointer const& job);
    void advance(job_ledger::job_pointer const& job);
    core::result_code take_unknown(peers::member_report const& report);

    decider_lease& lease_;
    decider_environment environment_;
    job_store jobs_;
    fleet_book book_;
    attempt_recorder recorder_;
    member_caller caller_;
    gang_coordinator coordinator_;
    job_ledger ledger_;
    mutable std::mutex notes_mutex_;
    std::map<std::string, std::string, std::less<>> notes_;
    std::map<std::string, core::time_point> rejected_since_;
    std::atomic<bool> is_woken_{false};
    std::atomic<bool> is_scan_wanted_{false};
    std::atomic<std::uint64_t> recovered_term_{0}; ///< 0 while following
    core::time_point last_round_;
    core::time_point last_scan_;
    core::time_point last_loss_check_;
};

} // namespace sequoiaroute::decider
