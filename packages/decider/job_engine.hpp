#pragma once

#include "core/counters.hpp"
#include "core/timer_service.hpp"
#include "decider/decider_client.hpp"
#include "decider/decider_lease.hpp"
#include "decider/decider_loop.hpp"
#include "decider/job_service.hpp"
#include "decider/table_job_service.hpp"
#include "decider/thread_runner.hpp"
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

/// What an entry gives to its job engine. All of it must outlive the engine.
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
    peers::entry_record self;
};

/// All that an entry does for jobs: it serves callers, and it is the decider
/// while it holds the lease.
class job_engine final : private decider_client
{
public:
    /// How many placements, and how many other operations, run at once. They
    /// wait for agents, so they need more threads than processors.
    static constexpr std::size_t placement_threads = 8;
    static constexpr std::size_t upkeep_threads = 8;

    explicit job_engine(engine_dependencies const& dependencies);
    job_engine(job_engine const&) = delete;
    job_engine& operator=(job_engine const&) = delete;
    ~job_engine() override;

    /// Begins to compete for the lease and to place jobs.
    void start(core::timer_service& timers);

    /// Ends all work after the operations that run now, and releases the
    /// lease. Tasks go on at their agents.
    void stop();

    /// Handles task_report, job_changed and job_note. An entry that is not the
    /// decider passes them on to the one that is.
    /// @param message the message
    /// @return the answer
    peers::answer_envelope handle(peers::envelope const& message);

    /// @return the service for callers
    job_service& jobs() { return service_; }

    /// @return whether this entry places jobs now
    bool is_decider() const;

    /// @return the highest term that this entry knows
    std::uint64_t term() const { return lease_.term(); }

    /// @return the state of the lease and the open jobs
    core::json dump() const;

private:
    void notify_change(std::string_view job_id) override;
    std::string waiting_note(std::string_view job_id) override;
    void tell_decider(std::string_view job_id);
    void tell_again();
    bool has_lease() const;
    void post_once(thread_runner& runner, std::atomic<bool>& is_posted,
                   void (job_engine::*function)());
    void renew_lease();
    void run_round();
    peers::answer_envelope handle_here(peers::envelope const& message);
    peers::answer_envelope pass_on(peers::envelope const& message);
    peers::answer_envelope answer(core::result_code code,
                                  std::string message = {},
                                  core::json body = {}) const;
    core::result<peers::answer_envelope>
    call_decider(std::string_view kind, core::json const& body,
                 core::duration time_limit);

    engine_dependencies dependencies_;
    // Lost answers hold up a renewal for less time than a job's write.
    platform::recovering_writer lease_rows_;
    platform::recovering_writer job_rows_;
    platform::recovering_writer service_rows_;
    decider_lease lease_;
    thread_runner placements_{placement_threads};
    thread_runner upkeep_{upkeep_threads};
    thread_runner lease_runner_{1};
    thread_runner round_runner_{1};
    thread_runner notices_{1};
    decider_loop process_;
    table_job_service service_;
    std::atomic<bool> is_renewal_posted_{false};
    std::atomic<bool> is_round_posted_{false};
    std::atomic<bool> is_notice_posted_{false};
    std::atomic<bool> is_scan_owed_{false}; ///< a change was not told
    bool is_stopped_ = false;
    std::unique_ptr<core::timer_service::subscription> lease_timer_;
    std::unique_ptr<core::timer_service::subscription> round_timer_;
    std::unique_ptr<core::timer_service::subscription> notice_timer_;
};

} // namespace sequoiaroute::decider
