#pragma once

#include "core/counters.hpp"
#include "core/timer_service.hpp"
#include "decider/decider_client.hpp"
#include "decider/decider_lease.hpp"
#include "decider/decider_loop.hpp"
#include "decider/job_service.hpp"
#include "decider/table_job_service.hpp"
#include "decider/thread_pool.hpp"
#include "peers/link.hpp"
#include "platform/object_store.hpp"
#include "platform/table.hpp"
#include "policy/rules_provider.hpp"
#include "policy/scheduling.hpp"
#include "targets/target_directory.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiaroute::decider {

/// The dependencies of a job_engine. All references must outlive it.
struct engine_dependencies
{
    platform::table& table;
    platform::object_store& objects;
    peers::link_pool& links;
    targets::target_directory& directory;
    policy::rules_provider& rules;
    policy::placement_policy& placement;
    core::clock const& clock;
    core::counters& counters;
    peers::entry_record self; ///< this entry
};

/// The job subsystem of an entry: serves the callers of the job API, competes
/// for the decider lease, and runs the scheduling loop while it holds it.
class job_engine final : private decider_client
{
public:
    /// How many placements, and how many other job steps, run concurrently.
    /// They block on calls to agents, so there are more threads than
    /// processors.
    static constexpr std::size_t placement_threads = 8;
    static constexpr std::size_t maintenance_threads = 8;

    /// Starts the worker threads, which stay idle until start().
    explicit job_engine(engine_dependencies const& dependencies);
    job_engine(job_engine const&) = delete;
    job_engine& operator=(job_engine const&) = delete;
    ~job_engine() override;

    /// Begins to compete for the lease and to place jobs.
    /// @param timers runs the periodic work; must outlive this object
    void start(core::timer_service& timers);

    /// Waits for the operations that are running, drops the queued ones and
    /// releases the lease. Tasks keep running at their agents.
    void stop();

    /// Handles the message kinds task_report, job_changed and job_note. An
    /// entry without the lease forwards them to the decider. Thread-safe.
    /// @return the answer; not_ready if the decider is unknown or unreachable
    peers::answer_envelope handle(peers::envelope const& message);

    /// @return the implementation of the job API
    job_service& jobs() { return service_; }

    /// @return whether this entry holds the lease and may place jobs
    bool is_decider() const;

    /// @return the term of the lease as last read
    std::uint64_t term() const { return lease_.term(); }

    /// @return the state of the lease and the open jobs, for operators
    core::json dump() const;

private:
    void notify_change(std::string_view job_id) override;
    std::string query_waiting_note(std::string_view job_id) override;
    /// Sends the notification of a change to the decider, which may be this
    /// entry. An empty job_id requests a scan of all rows.
    void notify_decider(std::string_view job_id);
    /// Requests a scan if an earlier notification failed.
    void resend_notification();
    /// @return whether the lease is held, even if it is suspended
    bool has_lease() const;
    /// Posts a function unless its previous run has yet to begin.
    void post_once(thread_pool& pool, std::atomic<bool>& is_posted,
                   void (job_engine::*function)());
    void renew_lease();
    void run_round();
    peers::answer_envelope handle_as_decider(peers::envelope const& message);
    peers::answer_envelope forward_to_decider(peers::envelope const& message);
    peers::answer_envelope answer(core::result_code code,
                                  std::string message = {},
                                  core::json body = {}) const;
    core::result<peers::answer_envelope>
    call_decider(std::string_view kind, core::json const& body,
                 core::duration time_limit);

    engine_dependencies dependencies_;
    // Separate writers, because the recovery of a write whose answer was lost
    // may take less time for a lease renewal than for a job's row.
    platform::recovering_writer lease_rows_;
    platform::recovering_writer job_rows_;
    platform::recovering_writer service_rows_;
    decider_lease lease_;
    thread_pool placement_pool_{placement_threads};
    thread_pool maintenance_pool_{maintenance_threads};
    thread_pool lease_thread_{1};
    thread_pool round_thread_{1};
    thread_pool notification_thread_{1};
    decider_loop loop_;
    table_job_service service_;
    std::atomic<bool> is_renewal_posted_{false};
    std::atomic<bool> is_round_posted_{false};
    std::atomic<bool> is_notification_posted_{false};
    std::atomic<bool> has_unsent_change_{false}; ///< a notification failed
    bool is_stopped_ = false;
    std::unique_ptr<core::timer_service::subscription> lease_timer_;
    std::unique_ptr<core::timer_service::subscription> round_timer_;
    std::unique_ptr<core::timer_service::subscription> notification_timer_;
};

} // namespace sequoiaroute::decider
