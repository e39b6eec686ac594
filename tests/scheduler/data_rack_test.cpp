#include "scheduler/scheduler_core_fixture.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

/// A scheduler core with workers of eight accelerators on several racks.
class data_rack_test : public scheduler_core_fixture
{
protected:
    void add_worker(std::string const& agent, std::string const& rack)
    {
        auto report = support::make_worker_report(agent);
        report.worker.rack = rack;
        report.worker.labels = {"a", rack};
        scheduler_core_fixture::add_worker(report);
    }

    /// @return a job whose data are on rack r1, of tasks that need a worker
    /// each
    static jobs::submission make_job(std::string const& id,
                                     core::duration estimate)
    {
        jobs::step_spec step;
        step.task = {52'000, 150'000, 8};
        step.estimate = estimate;
        step.data_rack = "r1";
        return make_job_of(id, step);
    }

    static jobs::submission make_lasting_job(std::string const& id)
    {
        auto job = make_job(id, 600s);
        job.spec.steps[0].is_long_running = true;
        return job;
    }

    /// @return a gang of two tasks for one rack, with data on none
    static jobs::submission make_rack_local_gang()
    {
        auto gang = make_job("gang", 2s);
        auto& step = gang.spec.steps[0];
        step.data_rack.clear();
        step.task_count = 2;
        step.is_gang = true;
        step.is_rack_local = true;
        return gang;
    }

    /// Adds a job and runs a round.
    /// @return the agents on which its tasks start
    std::vector<std::string> submit(jobs::submission const& job)
    {
        core_.add_submission(job, now_);
        return start_tasks();
    }

    /// Runs a round.
    /// @return the agents on which tasks start
    std::vector<std::string> start_tasks()
    {
        std::vector<std::string> agents;
        for (auto const& order : decide_starts()) {
            agents.push_back(order.agent);
            running_[order.agent] = order.run;
        }
        std::sort(agents.begin(), agents.end());
        return agents;
    }

    /// Passes time while all workers report their runs.
    void pass(core::duration time, std::int32_t percent)
    {
        now_ += time;
        for (auto& [agent, report] : reports_) {
            report.running.clear();
            if (auto const run = running_.find(agent); run != running_.end())
                report.running = {
                    {run->second, {}, percent, 100, core::duration(0)}};
            core_.receive_report(report, now_);
        }
    }

    /// Runs a round every half second, while all runs are always about to end.
    /// @return the agents of the first start within some time
    std::vector<std::string> first_starts_within(core::duration limit)
    {
        std::int32_t percent = 98;
        for (core::duration waited{0}; waited < limit; waited += 500ms) {
            pass(500ms, percent);
            percent = percent == 98 ? 99 : 98;
            if (auto starts = start_tasks(); !starts.empty())
                return starts;
        }
        return {};
    }

    using agents = std::vector<std::string>;

    std::map<std::string, jobs::run_id> running_;
};

// Guards against a job that waits without end for its data rack, which a
// lasting task fills, beside idle workers of other racks (review case 6).
TEST_F(data_rack_test, starts_elsewhere_if_a_lasting_task_fills_the_data_rack)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    ASSERT_EQ(submit(make_lasting_job("lasting")), agents{"a"});
    pass(10s, 100);
    EXPECT_EQ(submit(make_job("j", 2s)), agents{"b"});
}

// Guards against an urgent job that waits for its data rack because stopping
// the lasting task there would discard too much work.
TEST_F(data_rack_test, starts_urgent_work_elsewhere_if_it_may_stop_nothing)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    ASSERT_EQ(submit(make_lasting_job("lasting")), agents{"a"});
    pass(1s, 100);
    pass(60s, 100);
    auto urgent = make_job("urgent", 2s);
    urgent.parameters.priority = 0;
    EXPECT_EQ(submit(urgent), agents{"b"});
}

// Guards against a lasting task that stays away while its data rack is full:
// its users notice that, but not where it runs.
TEST_F(data_rack_test, starts_a_lasting_task_elsewhere_at_once)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    ASSERT_EQ(submit(make_job("short", 2s)), agents{"a"});
    EXPECT_EQ(submit(make_lasting_job("lasting")), agents{"b"});
}

// Guards against the tasks of a lasting step with a limit per worker that wait
// for more workers on their data rack than it has.
TEST_F(data_rack_test, spreads_a_lasting_step_beyond_the_data_rack)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    auto job = make_lasting_job("lasting");
    job.spec.steps[0].task_count = 2;
    job.spec.steps[0].task = {1000, 1000, 1};
    job.spec.steps[0].max_per_worker = 1;
    EXPECT_EQ(submit(job), (agents{"a", "b"}));
}

// Guards against a gang that waits without end because it is wider than the
// rack with its data.
TEST_F(data_rack_test, starts_a_gang_elsewhere_that_its_data_rack_cannot_hold)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    auto job = make_job("gang", 2s);
    job.spec.steps[0].task_count = 2;
    job.spec.steps[0].is_gang = true;
    EXPECT_EQ(submit(job), (agents{"a", "b"}));
}

// Guards against a rack-local gang that waits without end for a rack which
// would hold it if it were empty, but on which a lasting task runs.
TEST_F(data_rack_test,
       spreads_a_rack_local_gang_if_lasting_tasks_fill_the_racks)
{
    add_worker("a", "r1");
    add_worker("b", "r1");
    add_worker("c", "r2");
    add_worker("d", "r3");
    ASSERT_EQ(submit(make_lasting_job("lasting")).size(), 1U);
    pass(1s, 100);
    EXPECT_EQ(submit(make_rack_local_gang()).size(), 2U);
}

// Guards against a job that runs three times as long elsewhere although its
// data rack is about to become free.
TEST_F(data_rack_test, waits_for_a_data_rack_that_is_free_soon)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    ASSERT_EQ(submit(make_job("first", 4s)), agents{"a"});
    pass(2s, 50);
    EXPECT_EQ(submit(make_job("second", 8s)), agents{});
    running_.clear();
    auto report = reports_.at("a");
    report.running.clear();
    report.ended = {{{{"first", 0, 0, 0}, 1}, jobs::run_end::done, {}}};
    now_ += 2s;
    core_.receive_report(report, now_);
    EXPECT_EQ(start_tasks(), agents{"a"});
}

// Guards against a wide step of which all tasks wait because some can start
// near their data soon, and against one of which none does.
TEST_F(data_rack_test, divides_a_step_between_its_data_rack_and_others)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    add_worker("c", "r3");
    add_worker("d", "r3");
    ASSERT_EQ(submit(make_job("first", 4s)), agents{"a"});
    pass(2s, 50);
    auto wide = make_job("wide", 8s);
    wide.spec.steps[0].task_count = 3;
    EXPECT_EQ(submit(wide).size(), 2U);
}

// Guards against a job that waits on and on beside an idle service, because the
// run on its data rack is always about to end.
TEST_F(data_rack_test, waits_a_bounded_time_beside_an_idle_service)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    add_worker("c", "r3");
    ASSERT_EQ(submit(make_job("first", 20s)), agents{"a"});
    pass(18s, 90);
    EXPECT_EQ(submit(make_job("second", 30s)), agents{});
    EXPECT_EQ(first_starts_within(14s).size(), 1U);
}

// Guards against a run that is stopped as stalled because it advances at a
// third of the usual pace away from its data.
TEST_F(data_rack_test, lets_a_slow_run_away_from_its_data_go_on)
{
    add_worker("b", "r2");
    ASSERT_EQ(submit(make_job("j", 60s)), agents{"b"});
    pass(1s, 1);
    for (int count = 0; count < 11; ++count) {
        pass(1s, 1);
        start_tasks();
    }
    EXPECT_FALSE(
        core_.jobs().at("j").assignments.begin()->second.is_stopping());
    for (int count = 0; count < 12; ++count) {
        pass(1s, 1);
        start_tasks();
    }
    EXPECT_TRUE(core_.jobs().at("j").assignments.begin()->second.is_stopping());
}

// Guards against a takeover after which a run away from its data counts as one
// on its rack, and its worker as slow.
TEST_F(data_rack_test, knows_the_rack_of_restored_runs)
{
    auto const job = make_job("j", 10s);
    core_.add_submission(job, now_);
    jobs::run_order order;
    order.agent = "b";
    order.run = {{"j", 0, 0, 0}, 1};
    order.executor = {"i-b", 1};
    core_.restore_order(order, now_);
    add_worker("b", "r2");
    running_["b"] = order.run;
    pass(1s, 10);
    EXPECT_EQ(core_.jobs().at("j").assignments.begin()->second.run_time_factor,
              3);
}

// Guards against a rack-local step whose first runs count as fast although the
// step has come to run on several racks.
TEST_F(data_rack_test, slows_all_runs_of_a_spread_rack_local_step)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    ASSERT_EQ(submit(make_rack_local_gang()), (agents{"a", "b"}));
    for (auto const& [task, run] : core_.jobs().at("gang").assignments)
        EXPECT_EQ(run.run_time_factor, 3);
}

// Guards against a gang whose members near the data count as fast although they
// end with those that are away from it.
TEST_F(data_rack_test, slows_all_members_of_a_gang_partly_away_from_its_data)
{
    add_worker("a", "r1");
    add_worker("b", "r2");
    auto gang = make_job("gang", 2s);
    gang.spec.steps[0].task_count = 2;
    gang.spec.steps[0].is_gang = true;
    ASSERT_EQ(submit(gang), (agents{"a", "b"}));
    for (auto const& [task, run] : core_.jobs().at("gang").assignments)
        EXPECT_EQ(run.run_time_factor, 3);
}

// Guards against more tasks of a step on one worker than its limit, when some
// start near the data and the others anywhere in the same round.
TEST_F(data_rack_test, keeps_the_limit_per_worker_on_all_racks)
{
    add_worker("a", "r1");
    auto job = make_lasting_job("lasting");
    job.spec.steps[0].task_count = 3;
    job.spec.steps[0].task = {1000, 1000, 1};
    job.spec.steps[0].max_per_worker = 1;
    EXPECT_EQ(submit(job), agents{"a"});
}

} // namespace
} // namespace sequoiaroute::scheduler
