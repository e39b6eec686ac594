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

/// Tells which members of gangs are present on any executor. The members of a
/// gang end as done together.
class gang_board
{
public:
    struct gang
    {
        std::set<jobs::run_id> members;
        bool is_done = false;
    };

    /// @return the gang's run to which a member belongs
    gang& of(jobs::run_id const& member);

private:
    std::map<std::string, gang> gangs_;
};

/// What a task has to do, as its payload says.
struct task_plan
{
    core::duration work{500};
    std::size_t gang_size = 0; ///< 0 for tasks that work alone
    jobs::resources room;

    std::string payload() const;
    static task_plan from_payload(std::string const& payload);
};

/// One executor through its lives: runs tasks under leases, and lists their
/// ends until they are acknowledged. Like the real ones it starts whatever it
/// is told to.
class executor_model
{
public:
    enum class start_answer
    {
        started,
        old,
        late,
    };

    struct listed_end
    {
        std::int64_t number = 0;
        jobs::run_id run;
        jobs::run_end how = jobs::run_end::done;
    };

    struct running_run
    {
        task_plan plan;
        core::duration done{0}; ///< work that is done
        core::time_point started_at{};
        std::optional<core::time_point> stops_at;
    };

    executor_model(std::string name, jobs::resources capacity,
                   core::clock const& clock, invariant_checker& checker,
                   gang_board& gangs);

    /// Begins a life; what was known before is forgotten.
    void begin_life();
    void end_life();

    bool is_up() const { return is_up_; }
    std::string const& id() const { return name_; }
    std::string life() const;
    std::int64_t born_ms() const { return born_ms_; }
    jobs::resources const& capacity() const { return capacity_; }

    /// @return its own clock, which is two percent slow
    std::int64_t clock_ms() const;

    start_answer start(jobs::run_id const& run, std::string const& payload,
                       std::int64_t deadline_ms);
    void stop(jobs::run_id const& run);
    void extend(std::int64_t deadline_ms);
    void acknowledge(std::int64_t number);

    /// Lets time pass: work, ends, leases.
    void advance();

    std::map<jobs::run_id, running_run> const& running() const
    {
        return running_;
    }
    std::vector<listed_end> const& ends() const { return ends_; }

    bool is_hanging = false; ///< runs stand still

private:
    using run_map = std::map<jobs::run_id, running_run>;

    void end(run_map::iterator run, jobs::run_end how);
    void advance_run(run_map::iterator run, core::duration passed);
    void wait_for_gang(run_map::iterator run);
    jobs::resources in_use() const;

    std::string name_;
    jobs::resources capacity_;
    core::clock const& clock_;
    invariant_checker& checker_;
    gang_board& gangs_;
    bool is_up_ = false;
    std::int64_t born_ms_ = 0;
    core::time_point born_at_{};
    core::time_point advanced_at_{};
    std::int64_t deadline_ms_ = 0;
    std::int64_t last_number_ = 0;
    run_map running_;
    std::vector<listed_end> ends_;
    std::map<jobs::task_id, std::int64_t> barred_; ///< the highest run refused
};

} // namespace sequoiaroute::soak
