#pragma once

#include "event/event_loop.hpp"
#include "event/evhttp_client.hpp"
#include "soak/executor_model.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/random_source.hpp"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// Simulates customers that submit jobs, poll their states and cancel some of
/// them. Connections are kept open. Each call, also a retry, goes to a random
/// entry.
class customer_simulator
{
public:
    /// Where customers reach an entry.
    struct entry
    {
        std::string name;
        std::string address; ///< IP:PORT
        /// It is stopping gracefully and no fault affects it, so that it must
        /// complete its responses.
        bool must_complete_responses = false;
    };

    /// @param loop runs the calls and timers
    /// @param checker is notified of all responses
    /// @param random decides on the jobs
    /// @param entries must outlive this object
    customer_simulator(event::event_loop& loop, invariant_checker& checker,
                       random_source& random, std::vector<entry>& entries);

    /// Starts to submit jobs and to poll their states.
    void start();

    /// Submits no more jobs; states are still polled.
    void finish() { is_finishing_ = true; }

    /// Cancels a share of the accepted jobs that have not ended.
    void cancel_jobs(double share);

    /// @return whether every accepted job that was not cancelled is known to
    ///         have ended
    bool are_all_final() const;

    static constexpr core::duration usual_max_work_time{2500};

    std::string key = "key-1"; ///< authenticates the customers
    /// The share of jobs with more tasks than a transaction of the store has
    /// entries, and than an executor lists ends at once.
    double wide_job_probability = 0;
    /// The share of the other jobs whose steps are gangs.
    double gang_probability = 0.4;
    /// The longest work time of a task. Longer tasks come less often.
    core::duration max_work_time = usual_max_work_time;

private:
    /// Creates a random job and submits it.
    void submit();
    void submit_wide_job();
    std::string next_job_id();
    /// Submits a job, and retries after a delay unless it was accepted.
    /// @param path the path of the job, which ends with its id
    /// @param body the job
    /// @param attempts_left how often to try, including this time
    void send(std::string const& path, std::string const& body,
              int attempts_left);
    /// @return the paths of the accepted jobs that are not known to have ended
    std::vector<std::string> open_paths();
    /// Polls the states of some random jobs that have not ended.
    void poll_states();
    void poll_state(std::string const& path);
    void cancel(std::string const& path);
    entry& pick_entry();
    /// Calls an entry, and reports a response that it should have completed.
    void call(entry& target, std::string const& method, std::string const& path,
              std::string body, event::http_client::callback done);

    event::event_loop& loop_;
    invariant_checker& checker_;
    random_source& random_;
    std::vector<entry>& entries_;
    event::evhttp_client client_;
    bool is_finishing_ = false;
    std::size_t submitted_count_ = 0;
    std::set<std::string> accepted_paths_;
    std::unique_ptr<event::timer> submit_timer_;
    std::unique_ptr<event::timer> poll_timer_;
    std::list<std::unique_ptr<event::timer>> retries_;
};

} // namespace sequoiaroute::soak
