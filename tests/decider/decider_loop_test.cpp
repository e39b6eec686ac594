#include "support/decider_fixture.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::decider {
namespace {

using namespace std::chrono_literals;
using policy::job_state;

using decider_loop_test = support::decider_fixture;

// Guards against an incomplete result, and against outputs in the order of the
// reports instead of the order of the members.
TEST_F(decider_loop_test, finishes_a_gang_with_all_outputs)
{
    submit("gang", 12);
    entry.run(1s);
    expect_finished_once("gang");
    auto const status = core::value(environment.jobs().status("press", "gang"));
    auto const result = core::value(core::parse_json(status.result));
    ASSERT_EQ(result["outputs"].size(), 12U);
    EXPECT_EQ(result["outputs"][11], "output of 11");
}

// Guards against a gang that runs in part after a worker refused a reservation,
// and against reservations that are not released.
TEST_F(decider_loop_test, refused_reservation_releases_the_other_members)
{
    environment.agents.agents["w1"].refuses = true;
    submit("gang", 24);
    entry.run(1s);
    EXPECT_EQ(environment.record("gang").state, job_state::queued);
    EXPECT_TRUE(environment.agents.started.empty());
    EXPECT_EQ(environment.agents.count_active("gang"), 0);
    environment.agents.agents["w1"].refuses = false;
    entry.run(4s);
    expect_finished_once("gang");
}

// Guards against a reservation that stays at the agent because its answer was
// lost.
TEST_F(decider_loop_test, reservation_with_a_lost_answer_is_released)
{
    environment.agents.agents["w0"].lost_responses = 1;
    submit("job");
    entry.run(200ms);
    EXPECT_EQ(environment.agents.count_active("job"), 0);
    entry.run(4s);
    expect_finished_once("job");
}

// Guards against resources that are allocated again before the agent has
// confirmed that it released them.
TEST_F(decider_loop_test, unconfirmed_release_keeps_its_resources)
{
    keep_tasks_running();
    environment.agents.agents["w0"].lost_responses = 16;
    environment.agents.agents["w1"].is_unreachable = true;
    environment.agents.agents["w2"].is_unreachable = true;
    submit("big", 8);
    entry.run(fleet_state::unconfirmed_release_lifetime - 1s);
    EXPECT_EQ(environment.record("big").state, job_state::queued);
    EXPECT_EQ(environment.record("big").attempt, 2U);
    entry.run(2s);
    EXPECT_EQ(environment.record("big").state, job_state::running);
}

// Guards against a paused decider that writes or sends commands after another
// entry has taken over the lease.
TEST_F(decider_loop_test, paused_former_decider_is_fenced_off)
{
    keep_tasks_running();
    entry.run(1s);
    submit("job");
    support::decider_entry other(environment, "b");
    other.run(4s);
    ASSERT_EQ(environment.record("job").term, 2U);
    entry.loop().wake();
    entry.loop().tick();
    entry.run(1s);
    EXPECT_EQ(entry.lease().state(), lease_state::follower);
    EXPECT_EQ(environment.record("job").attempt, 1U);
    EXPECT_EQ(environment.agents.count_active("job"), 1);
}

// Guards against a second attempt, a lost job, or a partly applied change after
// the answer to any write of a job was lost.
TEST(decider_loop_writes, job_survives_a_lost_answer_at_each_write)
{
    for (int write = 2; write <= 4; ++write) {
        for (int mode = 0; mode < 4; ++mode) {
            SCOPED_TRACE(testing::Message() << write << " mode " << mode);
            support::decider_environment environment;
            support::decider_entry entry(environment, "a");
            ASSERT_TRUE(core::is_ok(
                environment.jobs().submit(environment.submission("gang", 3))));
            environment.table.failing_job_commit = write;
            environment.table.is_failing_commit_applied = mode % 2 == 1;
            environment.table.failing_reads_after_commit = mode < 2 ? 0 : 40;
            entry.run(8s);
            EXPECT_EQ(environment.record("gang").state, job_state::finished);
            EXPECT_EQ(environment.agents.overlap_count, 0);
            EXPECT_EQ(environment.agents.started["gang"].size(), 1U);
        }
    }
}

// Guards against a start or release command while it is unknown whether the
// attempt was committed.
TEST_F(decider_loop_test, unknown_commit_outcome_neither_starts_nor_releases)
{
    entry.run(1s);
    submit("job");
    environment.table.failing_job_commit = 3;
    environment.table.is_failing_commit_applied = true;
    environment.table.failing_reads_after_commit = 1000;
    entry.loop().wake();
    entry.loop().tick();
    EXPECT_TRUE(environment.agents.started.empty());
    EXPECT_EQ(environment.agents.count_active("job"), 1);
    EXPECT_EQ(entry.loop().dump()["jobs"][0]["has_unknown_write"], true);
    environment.table.failing_reads = 0;
    entry.run(1s);
    expect_finished_once("job");
}

// Guards against a job that is not recovered after the decider failed at any
// step of a placement, or that is recovered with two attempts at once.
TEST(decider_loop_recovery, another_decider_recovers_after_each_step)
{
    for (int steps = 1; steps <= 14; ++steps) {
        SCOPED_TRACE(steps);
        support::decider_environment environment;
        support::decider_entry first(environment, "a");
        support::decider_entry second(environment, "b");
        first.run(400ms);
        ASSERT_TRUE(core::is_ok(
            environment.jobs().submit(environment.submission("gang", 3))));
        first.loop().handle_change("gang");
        first.disconnect_after(steps);
        first.run(400ms);
        first.disconnect_after(0);
        second.run(6s);
        EXPECT_EQ(environment.record("gang").state, job_state::finished);
        EXPECT_EQ(environment.agents.overlap_count, 0);
        EXPECT_EQ(environment.agents.count_active("gang"), 0);
        first.reconnect();
        first.run(1s);
        EXPECT_EQ(first.lease().state(), lease_state::follower);
        EXPECT_LE(environment.agents.started["gang"].size(), 1U);
    }
}

// Guards against a cancellation that is lost because the job has just been
// placed.
TEST_F(decider_loop_test, cancel_of_a_running_job_stops_all_members)
{
    keep_tasks_running();
    submit("gang", 3);
    entry.run(1s);
    ASSERT_EQ(environment.record("gang").state, job_state::running);
    ASSERT_TRUE(core::is_ok(environment.jobs().cancel("press", "gang")));
    entry.loop().handle_change("gang");
    entry.run(1s);
    EXPECT_EQ(environment.record("gang").state, job_state::cancelled);
    EXPECT_EQ(environment.agents.count_active("gang"), 0);
}

// Guards against a start after a cancellation during the reservation: the
// commit conflicts with the cancellation, and the attempt is abandoned.
TEST_F(decider_loop_test, cancel_during_reservation_prevents_the_start)
{
    entry.run(1s);
    submit("job");
    environment.table.failing_job_commit = 3;
    environment.table.failing_reads_after_commit = 1000;
    entry.loop().wake();
    entry.loop().tick();
    environment.table.failing_reads = 0;
    ASSERT_EQ(environment.record("job").state, job_state::reserving);
    ASSERT_TRUE(core::is_ok(environment.jobs().cancel("press", "job")));
    entry.run(1s);
    EXPECT_EQ(environment.record("job").state, job_state::cancelled);
    EXPECT_TRUE(environment.agents.started.empty());
    EXPECT_EQ(environment.agents.count_active("job"), 0);
}

// Guards against a finish that is written twice, and against a late report of
// an older attempt that is applied to the current one.
TEST_F(decider_loop_test, repeated_and_late_reports_are_ignored)
{
    submit("job");
    entry.run(1s);
    expect_finished_once("job");
    auto const puts = environment.objects.puts;
    auto const commits = environment.table.job_commits;
    peers::member_report report;
    report.worker_id = "w0";
    report.job_id = "job";
    report.attempt = 1;
    report.state = peers::member_state::finished;
    EXPECT_EQ(entry.loop().handle_report(report), core::result_code::ok);
    report.attempt = 0;
    EXPECT_EQ(entry.loop().handle_report(report), core::result_code::ok);
    EXPECT_EQ(environment.objects.puts, puts);
    EXPECT_EQ(environment.table.job_commits, commits);
}

// Guards against a report that is acknowledged, and so discarded by the agent,
// before the result is stored.
TEST_F(decider_loop_test, finish_is_acknowledged_only_once_stored)
{
    environment.objects.is_down = true;
    submit("job");
    entry.run(3s);
    EXPECT_EQ(environment.record("job").state, job_state::running);
    EXPECT_FALSE(environment.agents.agents["w0"].tasks["job.1.0"].is_reported);
    environment.objects.is_down = false;
    entry.run(3s);
    expect_finished_once("job");
    EXPECT_TRUE(environment.agents.agents["w0"].tasks["job.1.0"].is_reported);
}

// Guards against a second attempt while members of the first may still run, and
// against a gang that keeps running after it lost a member.
TEST_F(decider_loop_test, lost_member_ends_the_gang_before_it_is_queued_again)
{
    keep_tasks_running();
    submit("gang", 24);
    entry.run(1s);
    environment.agents.agents["w1"].is_unreachable = true;
    environment.agents.agents["w2"].is_unreachable = true;
    entry.run(20s);
    EXPECT_EQ(environment.record("gang").state, job_state::running);
    environment.agents.agents["w1"].is_lost = true;
    entry.run(20s);
    // w2 may still run its member, so the attempt has not ended.
    EXPECT_EQ(environment.record("gang").state, job_state::stopping);
    environment.agents.agents["w2"].is_lost = true;
    entry.run(2s);
    EXPECT_EQ(environment.record("gang").state, job_state::queued);
    EXPECT_EQ(environment.agents.count_active("gang"), 0);
    EXPECT_EQ(environment.agents.started["gang"].size(), 1U);
}

// Guards against an unrepeatable job that runs twice after its worker is lost.
TEST_F(decider_loop_test,
       unrepeatable_job_has_unknown_outcome_after_a_lost_worker)
{
    keep_tasks_running();
    submit("once", 1, true);
    entry.run(1s);
    environment.agents.agents["w0"].is_lost = true;
    entry.run(2s);
    auto const status = core::value(environment.jobs().status("press", "once"));
    EXPECT_EQ(status.record.state, job_state::outcome_unknown);
    EXPECT_THAT(status.text, testing::HasSubstr("will not be run again"));
    EXPECT_EQ(environment.agents.started["once"].size(), 1U);
}

// Guards against a new attempt while the restarted agent may still run the old
// one, from a start whose answer was lost.
TEST_F(decider_loop_test,
       restarted_agent_confirms_a_stop_before_the_next_attempt)
{
    keep_tasks_running();
    submit("job");
    entry.run(1s);
    environment.agents.restart("w0");
    entry.run(4s);
    EXPECT_EQ(environment.record("job").attempt, 2U);
    EXPECT_EQ(environment.record("job").state, job_state::running);
    ASSERT_FALSE(environment.agents.stops.empty());
    EXPECT_EQ(environment.agents.stops[0].attempt, 1U);
    EXPECT_EQ(environment.agents.overlap_count, 0);
}

// Guards against a command with the new term from a decider that lost its lease
// during an operation; agents would accept it.
TEST_F(decider_loop_test, commands_carry_the_term_in_which_the_job_was_read)
{
    keep_tasks_running();
    submit("job");
    entry.run(1s);
    support::decider_entry other(environment, "b");
    other.run(4s);
    ASSERT_EQ(other.lease().term(), 2U);
    environment.agents.agents["w0"].is_unreachable = true;
    ASSERT_TRUE(core::is_ok(environment.jobs().cancel("press", "job")));
    other.loop().handle_change("job");
    other.run(1s);
    environment.agents.agents["w0"].is_unreachable = false;
    entry.loop().handle_change("job");
    entry.run(1s);
    EXPECT_TRUE(environment.agents.stops.empty());
    other.run(4s);
    ASSERT_FALSE(environment.agents.stops.empty());
    EXPECT_EQ(environment.agents.stops.back().term, 2U);
}

// Guards against stop commands that wait for the table: the lease holder
// repeats them while the table is down, and places nothing.
TEST_F(decider_loop_test, stop_commands_continue_while_the_table_is_down)
{
    keep_tasks_running();
    submit("job");
    entry.run(1s);
    environment.agents.agents["w0"].is_unreachable = true;
    ASSERT_TRUE(core::is_ok(environment.jobs().cancel("press", "job")));
    entry.loop().handle_change("job");
    entry.run(1s);
    ASSERT_EQ(environment.record("job").state, job_state::stopping);
    environment.table.is_down = true;
    entry.run(10s);
    environment.agents.agents["w0"].is_unreachable = false;
    entry.run(5s);
    EXPECT_EQ(environment.agents.count_active("job"), 0);
    environment.table.is_down = false;
    entry.run(1s);
    EXPECT_EQ(environment.record("job").state, job_state::cancelled);
}

} // namespace
} // namespace sequoiaroute::decider
