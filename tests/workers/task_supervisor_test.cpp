#include "workers/mocks.hpp"
#include "workers/task_supervisor.hpp"

#include "support/manual_clock.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;
using core::result_code;
using peers::member_state;
using platform::task_state;
using testing::_;
using testing::Return;

peers::task_command make_command(std::string const& job_id,
                                 int accelerators = 4, std::uint64_t term = 5)
{
    peers::task_command command;
    command.job_id = job_id;
    command.attempt = 1;
    command.term = term;
    command.resources = {1, 100, accelerators};
    return command;
}

peers::task_stop make_stop(std::string const& job_id, std::uint64_t term = 5)
{
    return {job_id, 1, term, 0, true, 5000};
}

class task_supervisor_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ON_CALL(runtime_, start(_)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, renew(_, _)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, stop(_)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, checkpoint(_)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, tasks()).WillByDefault([this] {
            return core::result<std::vector<platform::task_report>>(tasks_);
        });
    }

    /// Starts a task that the runtime lists as running from then on.
    void start(std::string const& job_id)
    {
        ASSERT_TRUE(is_ok(supervisor_.start(make_command(job_id))));
        tasks_.push_back({job_id + ".1.0", task_state::running, "", "", ""});
    }

    support::manual_clock clock_;
    testing::NiceMock<mock_runtime> runtime_;
    std::vector<platform::task_report> tasks_;
    task_supervisor supervisor_{{"w1", {8, 1000, 8}}, clock_, runtime_};
};

TEST_F(task_supervisor_test, refuses_reservation_that_does_not_fit)
{
    EXPECT_TRUE(is_ok(supervisor_.reserve(make_command("j1"))));
    EXPECT_TRUE(is_ok(supervisor_.reserve(make_command("j1"))));
    EXPECT_TRUE(is_ok(supervisor_.reserve(make_command("j2"))));
    EXPECT_EQ(code_of(supervisor_.reserve(make_command("j3", 1))),
              result_code::refused_not_run);
    EXPECT_EQ(supervisor_.in_use().accelerators, 8);
}

// Guards against commands of a decider that was replaced while it was frozen.
TEST_F(task_supervisor_test, refuses_commands_of_a_lower_term)
{
    EXPECT_TRUE(is_ok(supervisor_.reserve(make_command("j1", 1, 6))));
    EXPECT_EQ(code_of(supervisor_.reserve(make_command("j2", 1, 5))),
              result_code::stale_term);
    EXPECT_EQ(code_of(supervisor_.start(make_command("j1", 1, 5))),
              result_code::stale_term);
    EXPECT_EQ(code_of(supervisor_.stop(make_stop("j1", 5))),
              result_code::stale_term);
}

// Guards against accelerators that stay reserved after a crash of the decider.
TEST_F(task_supervisor_test, reservation_expires)
{
    supervisor_.reserve(make_command("j1", 8));
    clock_.advance(9999ms);
    supervisor_.tick();
    EXPECT_EQ(supervisor_.in_use().accelerators, 8);
    clock_.advance(1ms);
    supervisor_.tick();
    EXPECT_EQ(supervisor_.in_use().accelerators, 0);
}

// Guards against a task that starts after the decider has stopped its attempt.
TEST_F(task_supervisor_test, stop_before_reserve_refuses_the_late_commands)
{
    EXPECT_CALL(runtime_, start(_)).Times(0);
    auto const stopped = supervisor_.stop(make_stop("j1"));
    ASSERT_TRUE(is_ok(stopped));
    EXPECT_EQ(value(stopped).state, member_state::stopped);
    EXPECT_EQ(code_of(supervisor_.reserve(make_command("j1"))),
              result_code::refused_not_run);
    EXPECT_EQ(code_of(supervisor_.start(make_command("j1"))),
              result_code::refused_not_run);
}

TEST_F(task_supervisor_test, repeated_start_starts_one_task)
{
    EXPECT_CALL(runtime_, start(_)).Times(1);
    start("j1");
    EXPECT_TRUE(is_ok(supervisor_.start(make_command("j1"))));
}

TEST_F(task_supervisor_test, renews_the_lease_each_period)
{
    start("j1");
    EXPECT_CALL(runtime_, renew(std::string_view("j1.1.0"), 5000ms)).Times(4);
    for (int step = 0; step < 24; ++step) {
        clock_.advance(250ms);
        supervisor_.tick();
    }
    EXPECT_FALSE(supervisor_.is_idle());
}

// Guards against the loss of the report that a task has finished.
TEST_F(task_supervisor_test, reports_finish_until_acknowledged)
{
    start("j1");
    clock_.advance(1s);
    tasks_[0].state = task_state::finished;
    tasks_[0].output = "result";
    supervisor_.tick();
    auto const reports = supervisor_.pending_reports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].state, member_state::finished);
    EXPECT_EQ(reports[0].output, "result");
    EXPECT_EQ(reports[0].run_time_ms, 1000);
    EXPECT_EQ(supervisor_.pending_reports().size(), 1U);
    supervisor_.acknowledge(reports[0]);
    EXPECT_TRUE(supervisor_.pending_reports().empty());
    EXPECT_EQ(supervisor_.in_use().accelerators, 0);
}

// Guards against a gang that runs a second time because the agent of a member
// crashed after the member's task had finished.
TEST_F(task_supervisor_test, reports_tasks_that_ended_before_a_restart)
{
    tasks_ = {{"j1.1.2", task_state::finished, "result", "", ""},
              {"j2.3.0", task_state::lease_expired, "", "cp", ""},
              {"of.another.kind", task_state::finished, "", "", ""}};
    supervisor_.recover();
    auto const reports = supervisor_.pending_reports();
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports[0].job_id, "j1");
    EXPECT_EQ(reports[0].member, 2);
    EXPECT_EQ(reports[0].state, member_state::finished);
    EXPECT_EQ(reports[0].output, "result");
    EXPECT_EQ(reports[1].attempt, 3U);
    EXPECT_EQ(reports[1].state, member_state::stopped);
    EXPECT_EQ(reports[1].checkpoint, "cp");
}

// Guards against reserving resources that a task of an earlier process still
// holds.
TEST_F(task_supervisor_test, stops_tasks_that_an_earlier_process_left_running)
{
    tasks_ = {{"j1.1.0", task_state::running, "", "", ""}};
    supervisor_.recover();
    EXPECT_EQ(code_of(supervisor_.reserve(make_command("j2"))),
              result_code::refused_not_run);
    EXPECT_CALL(runtime_, stop(std::string_view("j1.1.0")))
        .Times(testing::AtLeast(1));
    supervisor_.tick();
    tasks_[0].state = task_state::stopped;
    supervisor_.tick();
    EXPECT_EQ(supervisor_.pending_reports().size(), 1U);
    EXPECT_TRUE(is_ok(supervisor_.reserve(make_command("j2"))));
}

// Guards against reporting a task as stopped that an earlier process started
// and that still runs.
TEST_F(task_supervisor_test, refuses_commands_until_the_runtime_has_answered)
{
    core::error const runtime_down = unreachable();
    EXPECT_CALL(runtime_, tasks()).WillRepeatedly(Return(runtime_down));
    supervisor_.recover();
    EXPECT_EQ(code_of(supervisor_.stop(make_stop("j1"))),
              result_code::unreachable);
    EXPECT_EQ(code_of(supervisor_.start(make_command("j1"))),
              result_code::unreachable);
    testing::Mock::VerifyAndClearExpectations(&runtime_);
    SetUp();
    supervisor_.tick();
    EXPECT_TRUE(is_ok(supervisor_.stop(make_stop("j1"))));
}

// Guards against accelerators that count as free before the task has ended.
TEST_F(task_supervisor_test, stop_waits_for_grace_and_confirmation)
{
    start("j1");
    EXPECT_CALL(runtime_, checkpoint(_)).Times(1);
    EXPECT_CALL(runtime_, stop(_)).Times(0);
    ASSERT_TRUE(is_ok(supervisor_.stop(make_stop("j1"))));
    clock_.advance(4900ms);
    supervisor_.tick();
    testing::Mock::VerifyAndClearExpectations(&runtime_);
    SetUp();
    EXPECT_CALL(runtime_, stop(_)).Times(1);
    clock_.advance(100ms);
    supervisor_.tick();
    EXPECT_EQ(supervisor_.in_use().accelerators, 4);
    tasks_[0].state = task_state::stopped;
    tasks_[0].checkpoint = "checkpoints/j1";
    EXPECT_CALL(runtime_, stop(_)).Times(1);
    supervisor_.tick();
    EXPECT_EQ(supervisor_.in_use().accelerators, 0);
    auto const reports = supervisor_.pending_reports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].state, member_state::stopped);
    EXPECT_EQ(reports[0].checkpoint, "checkpoints/j1");
}

// Guards against renewing the lease of a task after this process was frozen for
// longer than the lease.
TEST_F(task_supervisor_test, expired_lease_after_freeze_is_reported_stopped)
{
    start("j1");
    clock_.advance(6s);
    EXPECT_CALL(runtime_, renew(_, _)).Times(0);
    tasks_[0].state = task_state::lease_expired;
    supervisor_.tick();
    auto const reports = supervisor_.pending_reports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].state, member_state::stopped);
    EXPECT_EQ(code_of(supervisor_.start(make_command("j1"))),
              result_code::refused_not_run);
}

// Guards against reporting a task as stopped while the runtime does not answer
// and the task may still hold its lease.
TEST_F(task_supervisor_test, unreachable_runtime_delays_the_stopped_report)
{
    start("j1");
    core::error const runtime_down = unreachable();
    EXPECT_CALL(runtime_, renew(_, _)).WillRepeatedly(Return(runtime_down));
    EXPECT_CALL(runtime_, stop(_)).WillRepeatedly(Return(runtime_down));
    EXPECT_CALL(runtime_, tasks()).WillRepeatedly(Return(runtime_down));
    clock_.advance(9999ms);
    supervisor_.tick();
    EXPECT_TRUE(supervisor_.pending_reports().empty());
    EXPECT_EQ(supervisor_.in_use().accelerators, 4);
    clock_.advance(1ms);
    supervisor_.tick();
    EXPECT_EQ(supervisor_.pending_reports().size(), 1U);
}

// Guards against a task that keeps running because the answer to its start was
// lost.
TEST_F(task_supervisor_test, failed_start_is_stopped_before_it_is_reported)
{
    EXPECT_CALL(runtime_, start(_))
        .WillOnce(Return(core::error{result_code::timed_out, "lost"}));
    EXPECT_EQ(code_of(supervisor_.start(make_command("j1"))),
              result_code::execution_failed);
    tasks_.push_back({"j1.1.0", task_state::running, "", "", ""});
    EXPECT_CALL(runtime_, stop(_)).WillOnce([this](auto) {
        tasks_[0].state = task_state::stopped;
        return core::success();
    });
    supervisor_.tick();
    auto const reports = supervisor_.pending_reports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].state, member_state::failed);
}

TEST_F(task_supervisor_test, leaving_worker_refuses_and_stops_all)
{
    start("j1");
    supervisor_.reserve(make_command("j2"));
    supervisor_.set_leaving();
    supervisor_.stop_all(5s, "leaving");
    EXPECT_EQ(code_of(supervisor_.start(make_command("j2"))),
              result_code::refused_not_run);
    EXPECT_EQ(supervisor_.in_use().accelerators, 4);
    tasks_[0].state = task_state::finished;
    supervisor_.tick();
    EXPECT_TRUE(supervisor_.is_idle());
    EXPECT_EQ(supervisor_.pending_reports()[0].state, member_state::finished);
}

} // namespace
} // namespace sequoiaroute::workers
