#include "support/decider_fixture.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::decider {
namespace {

using namespace std::chrono_literals;
using policy::job_state;

using decider_decisions_test = support::decider_fixture;

// Guards against endless retries of a job that fails on every worker, and
// against a quarantine of the workers on which it failed.
TEST_F(decider_decisions_test, job_that_fails_on_three_workers_fails_everywhere)
{
    for (auto& [id, agent] : environment.agents.agents)
        agent.fails = true;
    submit("bad");
    entry.run(4s);
    auto const record = environment.record("bad");
    EXPECT_EQ(record.state, job_state::fails_everywhere);
    EXPECT_THAT(record.failed_workers,
                testing::UnorderedElementsAre("w0", "w1", "w2"));
    EXPECT_TRUE(entry.loop().dump()["quarantined"].empty());
}

// Guards against an eviction that loses checkpoints, gives no time to write
// them, or stops an unrepeatable job, which could not run again.
TEST_F(decider_decisions_test,
       eviction_keeps_the_checkpoint_and_queues_the_job_again)
{
    keep_tasks_running();
    submit("gang", 2);
    submit("once", 1, true);
    entry.run(1s);
    entry.policy().evictions = {{"gang", {}, "owner"}, {"once", {}, "owner"}};
    entry.run(400ms);
    auto const record = environment.record("gang");
    EXPECT_THAT(record.checkpoints, testing::Each("checkpoint"));
    EXPECT_EQ(record.checkpoints.size(), 2U);
    ASSERT_EQ(environment.agents.stops.size(), 2U);
    EXPECT_EQ(environment.agents.stops[0].grace_ms, 5000);
    entry.run(1s);
    EXPECT_EQ(environment.record("gang").attempt, 2U);
    EXPECT_EQ(environment.record("gang").state, job_state::running);
    EXPECT_EQ(environment.record("once").state, job_state::running);
    EXPECT_EQ(environment.agents.overlap_count, 0);
}

// Guards against the rejection of a job by a decider that sees only part of the
// fleet, and against a job that can never run and is never rejected.
TEST_F(decider_decisions_test, rejects_a_job_only_after_the_rejection_delay)
{
    submit("wide", 30);
    entry.run(50s);
    EXPECT_EQ(environment.record("wide").state, job_state::queued);
    EXPECT_THAT(entry.loop().note("wide"),
                testing::HasSubstr("it cannot run now"));
    entry.run(15s);
    EXPECT_EQ(environment.record("wide").state, job_state::rejected);
}

// Guards against placing more work on a worker that fails every task.
TEST_F(decider_decisions_test, worker_that_fails_every_task_is_quarantined)
{
    environment.agents.agents["w0"].fails = true;
    for (auto const* const id : {"one", "two", "three"}) {
        auto submission = environment.submission(id);
        submission.kind = id;
        ASSERT_TRUE(core::is_ok(environment.jobs().submit(submission)));
        entry.loop().handle_change(id);
    }
    entry.run(2s);
    EXPECT_EQ(entry.loop().dump()["quarantined"], core::json::array({"w0"}));
    for (auto const* const id : {"one", "two", "three"})
        expect_finished_once(id);
    environment.agents.agents["w0"].fails = false;
    submit("four");
    entry.run(1s);
    EXPECT_EQ(environment.record("four").placed[0].worker_id, "w1");
}

} // namespace
} // namespace sequoiaroute::decider
