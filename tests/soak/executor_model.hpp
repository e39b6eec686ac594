#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"
#include "soak/invariant_checker.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// The gangs that run on all executors. When one member has completed its work,
/// all end as done.
class gang_registry
{
public:
    struct gang
    {
        std::set<jobs::run_id> members; ///< those that run now
        bool is_done = false;           ///< a member has completed its work
    };

    /// @return the gang to which a run belongs; each repetition of a step is a
    ///         gang of its own
    gang& gang_of(jobs::run_id const& run);

private:
    std::map<std::string, gang> gangs_;
};

/// What a task has to do. The payload of the task encodes it.
struct task_plan
{
    core::duration work_time{500};
    std::size_t gang_size = 0; ///< 0 for a task that is no member of a gang
    jobs::resources demand;    ///< what a run of the task needs

    /// @return the plan as the payload of a task
    std::string payload() const;
    /// Reverses payload().
    static task_plan from_payload(std::string const& payload);
};

/// Simulates an executor, including its restarts. It runs tasks while its lease
/// is valid, and lists the ends of runs until they are acknowledged. Like a
/// real executor it starts whatever it is ordered to, even beyond its capacity.
class executor_model
{
public:
    enum class start_result
    {
        started,
        old,  ///< this run or a later one of the task has ended or was stopped
        late, ///< the lease of the order had already expired
    };

    /// The end of a run that was not acknowledged yet.
    struct listed_end
    {
        std::int64_t number = 0; ///< increases within an incarnation
        jobs::run_id run;
        jobs::run_end outcome = jobs::run_end::done;
        /// The lease has expired since. The decider then may have taken the
        /// run as lapsed, so its acknowledgement does not bind.
        bool has_lapsed = false;
    };

    struct running_run
    {
        task_plan plan;
        core::duration work_done{0}; ///< of the work time of the plan
        core::time_point started_at{};
        std::optional<core::time_point> stops_at; ///< set once ordered to stop
    };

    /// How an incarnation is identified after its predecessor has ended.
    enum class succession
    {
        same_id,
        new_id,
        /// The same id, but an earlier start time, since the time of day was
        /// set back.
        earlier_start,
    };

    /// @param name the id of the first incarnations
    /// @param agent the name of the agent that controls it
    /// @param capacity reported, but not enforced
    /// @param max_lease the longest lease that it grants
    /// @param clock the real time
    /// @param checker is notified of the starts and ends of runs
    /// @param gangs shared by all executors
    executor_model(std::string name, std::string agent,
                   jobs::resources capacity, core::duration max_lease,
                   core::clock const& clock, invariant_checker& checker,
                   gang_registry& gangs);

    /// Starts the executor without any state of its former incarnation.
    /// @param next how it is identified
    void begin_incarnation(succession next = succession::same_id);
    /// Ends the executor and all its runs, as in a crash.
    void end_incarnation();

    bool is_up() const { return is_up_; }
    std::string const& id() const { return id_; }
    /// @return an id of the current incarnation
    std::string incarnation() const;
    std::int64_t born_ms() const { return born_ms_; }
    jobs::resources const& capacity() const { return capacity_; }

    /// @return the time of its own clock in milliseconds since its start; the
    ///         clock is two percent slow
    std::int64_t clock_ms() const;

    /// Starts a run; repeating the call has no further effect.
    /// @param deadline_ms extends the lease to this time of its own clock
    start_result start(jobs::run_id const& run, std::string const& payload,
                       std::int64_t deadline_ms);
    /// Stops a run after the stop time. If the run is not running, it and
    /// earlier runs of its task will be refused.
    void stop(jobs::run_id const& run);
    /// Extends the lease; runs end once it has expired.
    void extend_lease(std::int64_t deadline_ms);
    /// Removes the listed ends up to a number, inclusive.
    void acknowledge_ends(std::int64_t number);

    /// Brings the simulation up to the current time: progress, ends of runs and
    /// the lease.
    void advance();

    std::map<jobs::run_id, running_run> const& running() const
    {
        return running_;
    }
    std::vector<listed_end> const& ends() const { return ends_; }

    /// How long a run takes to stop, unless a fault makes it longer.
    static constexpr core::duration usual_stop_time{150};

    bool is_hanging = false; ///< runs make no progress
    /// Members of gangs here do not learn what becomes of the other members,
    /// and run on.
    bool is_cut_off_from_gangs = false;
    bool fails_runs = false; ///< runs fail half-way through their work
    core::duration stop_time = usual_stop_time;

private:
    using run_map = std::map<jobs::run_id, running_run>;

    void end(run_map::iterator run, jobs::run_end outcome);
    /// Marks the listed ends if the lease has expired.
    /// @return whether it has
    bool check_lease();
    void advance_run(run_map::iterator run, core::duration passed);
    /// Ends a run whose gang is incomplete, if a member has ended or did not
    /// start in time.
    void wait_for_gang(run_map::iterator run);
    jobs::resources in_use() const; ///< by all current runs

    std::string name_;
    std::string id_;
    int successor_count_ = 0; ///< with ids of their own
    std::string agent_;
    jobs::resources capacity_;
    core::duration max_lease_;
    core::clock const& clock_;
    invariant_checker& checker_;
    gang_registry& gangs_;
    bool is_up_ = false;
    std::int64_t born_ms_ = 0;
    // No two incarnations have the same start time.
    std::int64_t first_born_ms_ = 0;
    std::int64_t last_born_ms_ = 0;
    core::time_point born_at_{};
    core::time_point advanced_at_{};
    std::int64_t deadline_ms_ = 0; ///< end of the lease, by its own clock
    std::int64_t last_end_number_ = 0;
    run_map running_;
    std::vector<listed_end> ends_;
    /// For each task the highest run that it refuses to start.
    std::map<jobs::task_id, std::int64_t> highest_refused_runs_;
};

} // namespace sequoiaroute::soak
