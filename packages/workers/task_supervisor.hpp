#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/result.hpp"
#include "peers/messages.hpp"
#include "platform/task_runtime.hpp"
#include "workers/member_record.hpp"
#include "workers/stopped_attempts.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::workers {

/// Settings of a task_supervisor.
struct supervisor_options
{
    std::string worker_id;
    policy::resources total; ///< resources of the worker
    /// A reservation expires after this time unless the member is started.
    core::duration reservation_limit{10'000};
    core::duration lease{5000}; ///< length of the lease of a task
    core::duration renew_period{1500};
    /// How long an ended member is kept after its end, for beats of its gang.
    core::duration ended_retention{30'000};
    /// How long commands for a stopped attempt are refused.
    core::duration stopped_retention{7'200'000};
};

/// Reserves resources of a worker for gang members, runs their tasks under
/// leases in the worker's task runtime, and reports how they ended. A job
/// without a gang consists of member 0 alone. The term of a command is the
/// fencing token of the decider: a term lower than the highest one seen is
/// refused. Thread-safe.
class task_supervisor
{
public:
    /// @param options the resources and periods
    /// @param clock the time source
    /// @param runtime the task runtime of the worker
    task_supervisor(supervisor_options options, core::clock const& clock,
                    platform::task_runtime& runtime)
        : options_(std::move(options)), clock_(clock), runtime_(runtime),
          stopped_attempts_(options_.stopped_retention)
    {
    }

    /// Recovers the tasks that an earlier process of this agent left in the
    /// runtime: ended tasks are reported and running ones are stopped. Commands
    /// are refused with unreachable until the runtime has listed its tasks;
    /// tick() retries.
    void recover();

    /// Reserves resources for a member. Idempotent.
    /// @return ok; refused_not_run if the resources are not free, the worker is
    ///         leaving or the attempt was stopped; stale_term; unreachable
    ///         before the recovery
    core::status reserve(peers::task_command const& command);

    /// Starts the task of a member, with or without a reservation. Idempotent.
    /// @return ok; refused_not_run if the task was not and will not be started;
    ///         stale_term; unreachable before the recovery; execution_failed if
    ///         the runtime failed to start it, after which it is stopped
    core::status start(peers::task_command const& command);

    /// Stops a member after the grace period of the command, with a checkpoint
    /// if the command wants one. Later reservations and starts of the attempt
    /// are refused, also if it is not known yet.
    /// @return the current state of the member; stale_term; unreachable before
    ///         the recovery. The final state is reported by pending_reports().
    core::result<peers::member_report> stop(peers::task_stop const& command);

    /// Stops all members of an attempt immediately, by decision of this agent.
    /// @param job_id the job
    /// @param attempt the attempt of the job
    /// @param reason the detail to report
    void stop_attempt(std::string const& job_id, std::uint64_t attempt,
                      std::string const& reason);

    /// Asks every task for a checkpoint and stops it after a grace period.
    /// @param grace the grace period
    /// @param reason the detail to report
    void stop_all(core::duration grace, std::string const& reason);

    /// Makes reserve() and start() refuse new members.
    void set_leaving();

    /// Expires reservations, renews leases, stops tasks whose grace period is
    /// over and polls the runtime. Must be called several times per renew
    /// period.
    void tick();

    /// @return the reports of ended members that are not acknowledged yet
    std::vector<peers::member_report> pending_reports() const;

    /// Marks the report of an ended member as acknowledged, so that it is not
    /// sent again.
    void acknowledge(peers::member_report const& report);

    /// @return all members, including those that ended recently
    std::vector<member_record> members() const;

    /// @return the resources that reservations and tasks hold
    policy::resources in_use() const;

    /// @return true if no reservation and no task is left
    bool is_idle() const;

    /// @return task id, phase, state and detail of each member
    core::json dump() const;

private:
    using member_map = std::map<member_key, member_record>;

    // finish_start(), request_checkpoints(), select_members() and the functions
    // that tick() calls must be called without holding mutex_. The others must
    // be called with it held, except make_member_report().

    core::status check_recovered() const;
    /// Adds the member of a task that an earlier process started.
    void recover_member(platform::task_report const& report);
    /// @return ok if the attempt of a command may be reserved or started
    core::status check_command(peers::task_command const& command);
    /// Raises highest_term_ to a higher term.
    /// @return stale_term if the term is lower
    core::status check_term(std::uint64_t term);
    core::status reserve_resources(peers::task_command const& command);
    policy::resources sum_in_use() const;
    /// Sets when a member is to be stopped. Erases a member whose task was not
    /// started yet.
    void begin_stop(member_record& record, peers::member_state end_state,
                    core::duration grace, std::string const& reason);
    /// Records the end of a member. Refuses further starts of the attempt
    /// unless the member finished.
    void end(member_record& record, peers::member_state state,
             std::string const& detail);
    /// Records the result of the start call to the runtime.
    void finish_start(member_key const& key, core::time_point requested_at,
                      core::status const& outcome);
    void request_checkpoints(std::vector<std::string> const& task_ids);
    /// Removes expired reservations and old ended members, and stops members
    /// whose lease has expired.
    void expire_members();
    void renew_leases();
    /// Stops the tasks whose grace period is over.
    void stop_due_tasks();
    /// Reads the state of the active tasks from the runtime.
    void poll_tasks();
    /// Updates a member from the report of the runtime.
    /// @param report null if the runtime does not list the task
    void apply_report(member_record& record,
                      platform::task_report const* report,
                      core::time_point polled_at);
    /// @param predicate gets a record and the current time
    /// @return the keys and task ids of the members that match
    std::vector<std::pair<member_key, std::string>>
    select_members(bool (*predicate)(member_record const&, core::time_point));
    bool is_lease_expired(member_record const& record) const;
    peers::member_report make_member_report(member_record const& record) const;

    supervisor_options options_;
    core::clock const& clock_;
    platform::task_runtime& runtime_;
    mutable std::mutex mutex_; ///< guards the members below
    member_map members_;
    stopped_attempts stopped_attempts_;
    std::uint64_t highest_term_ = 0;
    bool is_leaving_ = false;
    bool is_recovering_ = false;
};

} // namespace sequoiaroute::workers
