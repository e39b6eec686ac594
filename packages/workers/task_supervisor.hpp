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

struct supervisor_options
{
    std::string worker_id;
    policy::resources total;
    core::duration reservation_limit{10'000};
    core::duration lease{5000};
    core::duration renew_period{1500};
    /// How long ended members are kept for late questions of their gang.
    core::duration ended_retention{30'000};
    /// How long a stopped attempt is refused.
    core::duration stopped_retention{7'200'000};
};

/// Reserves room for gang members, runs their tasks under leases and reports
/// how they ended. Commands carry the decider's term; lower terms than the
/// highest one seen are refused.
class task_supervisor
{
public:
    /// @param options resources and periods
    /// @param clock the time source
    /// @param runtime the worker's task runtime
    task_supervisor(supervisor_options options, core::clock const& clock,
                    platform::task_runtime& runtime)
        : options_(std::move(options)), clock_(clock), runtime_(runtime),
          stopped_(options_.stopped_retention)
    {
    }

    /// Takes over what the runtime lists from an earlier process of this agent:
    /// ends are reported, and what still runs is stopped. Commands are refused
    /// until the runtime has answered; tick() asks again.
    void recover();

    /// Holds room for a member; repeating it has no effect.
    core::status reserve(peers::task_command const& command);

    /// Starts a member, reserved or not; repeating it has no effect.
    /// @return ok; refused_not_run if it did not and will not start;
    ///         stale_term; execution_failed if the runtime failed to start it
    core::status start(peers::task_command const& command);

    /// Stops a member. An attempt that is not known yet is refused later.
    /// @return the member's state; the final state follows as a report
    core::result<peers::member_report> stop(peers::task_stop const& command);

    /// Stops all members of an attempt on this agent's own account.
    void stop_attempt(std::string const& job_id, std::uint64_t attempt,
                      std::string const& reason);

    /// Asks every task for a checkpoint and stops it after a grace period.
    void stop_all(core::duration grace, std::string const& reason);

    /// Refuses all further reservations and starts.
    void set_leaving();

    /// Lapses reservations, renews leases and polls the runtime. To be called
    /// several times per renew period.
    void tick();

    /// @return reports of ended members that were not acknowledged yet
    std::vector<peers::member_report> pending_reports() const;

    /// Marks a report as received by an entry.
    void acknowledge(peers::member_report const& report);

    /// @return all members, the ended ones included for a while
    std::vector<member_record> members() const;

    /// @return resources of reservations and tasks
    policy::resources in_use() const;

    /// @return true if no reservation and no task is left
    bool is_idle() const;

    core::json dump() const;

private:
    using member_map = std::map<member_key, member_record>;

    core::status check_recovered() const;
    void restore(platform::task_report const& report);
    core::status check(peers::task_command const& command);
    core::status check_term(std::uint64_t term);
    core::status hold(peers::task_command const& command);
    policy::resources sum_in_use() const;
    void begin_stop(member_record& record, peers::member_state end_state,
                    core::duration grace, std::string const& reason);
    void end(member_record& record, peers::member_state state,
             std::string const& detail);
    void finish_start(member_key const& key, core::time_point begun_at,
                      core::status const& outcome);
    void request_checkpoints(std::vector<std::string> const& task_ids);
    void lapse();
    void renew();
    void stop_due();
    void poll();
    void apply(member_record& record, platform::task_report const* report,
               core::time_point polled_at);
    std::vector<std::pair<member_key, std::string>>
    select(bool (*wanted)(member_record const&, core::time_point));
    bool is_lease_over(member_record const& record) const;
    peers::member_report report_of(member_record const& record) const;

    supervisor_options options_;
    core::clock const& clock_;
    platform::task_runtime& runtime_;
    mutable std::mutex mutex_;
    member_map members_;
    stopped_attempts stopped_;
    std::uint64_t highest_term_ = 0;
    bool is_leaving_ = false;
    bool is_recovering_ = false;
};

} // namespace sequoiaroute::workers
