#include "support/decider_environment.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::decider {
namespace {

using core::result_code;
using policy::job_state;

struct table_job_service_test : testing::Test
{
    result_code submit(std::string const& id)
    {
        return core::code_of(
            environment.jobs().submit(environment.submission(id)));
    }

    support::decider_environment environment;
};

// Guards against two jobs from a submission that was repeated after a lost
// answer, and against two different submissions under one id.
TEST_F(table_job_service_test, submission_is_idempotent_by_its_content)
{
    auto submission = environment.submission("job");
    submission.input = "poem";
    ASSERT_TRUE(core::is_ok(environment.jobs().submit(submission)));
    auto const commits = environment.table.job_commits;
    EXPECT_TRUE(core::is_ok(environment.jobs().submit(submission)));
    EXPECT_EQ(environment.table.job_commits, commits);
    submission.input = "another poem";
    EXPECT_EQ(core::code_of(environment.jobs().submit(submission)),
              result_code::request_id_reused);
    EXPECT_EQ(environment.objects.objects[environment.record("job").input_key],
              "poem");
}

// Guards against a "not run" code for a job that may have been accepted.
TEST_F(table_job_service_test, not_run_is_reported_only_if_certain)
{
    environment.table.is_down = true;
    EXPECT_EQ(submit("new"), result_code::not_run_store_unavailable);
    environment.table.is_down = false;
    environment.objects.is_down = true;
    auto submission = environment.submission("input");
    submission.input = "poem";
    EXPECT_EQ(core::code_of(environment.jobs().submit(submission)),
              result_code::not_run_store_unavailable);
    environment.table.failing_job_commit = 1;
    environment.table.is_failing_commit_applied = true;
    environment.table.failing_reads_after_commit = 1000;
    EXPECT_EQ(submit("lost"), result_code::write_unknown);
    EXPECT_EQ(submit("lost"), result_code::write_unknown);
    environment.table.failing_reads = 0;
    EXPECT_EQ(submit("lost"), result_code::ok);
    EXPECT_EQ(environment.table.job_commits, 1);
}

// Guards against a job that can never run and stays in the queue forever.
TEST_F(table_job_service_test,
       refuses_a_job_that_never_fits_once_the_fleet_is_known)
{
    auto submission = environment.submission("huge");
    submission.member.accelerators = 9;
    EXPECT_TRUE(core::is_ok(environment.jobs().submit(submission)));
    environment.clock.advance(table_job_service::fleet_discovery_time);
    submission.job_id = "huge2";
    EXPECT_EQ(core::code_of(environment.jobs().submit(submission)),
              result_code::job_never_fits);
}

// Guards against a customer with more queued jobs than its limit.
TEST_F(table_job_service_test, enforces_the_limit_of_queued_jobs)
{
    environment.rules.set.customers["press"].limits.queued_jobs = 2;
    EXPECT_EQ(submit("one"), result_code::ok);
    EXPECT_EQ(submit("two"), result_code::ok);
    EXPECT_EQ(submit("three"), result_code::limit_exceeded_not_run);
}

// Guards against an invalid submission that is written to the table.
TEST_F(table_job_service_test, bad_request_names_the_invalid_field)
{
    auto submission = environment.submission("job", 65);
    auto const outcome = environment.jobs().submit(submission);
    ASSERT_EQ(core::code_of(outcome), result_code::bad_request);
    EXPECT_THAT(core::failure(outcome).message, testing::HasSubstr("members"));
    EXPECT_EQ(submit("no spaces"), result_code::bad_request);
}

// Guards against a job that another customer can read or cancel.
TEST_F(table_job_service_test, hides_jobs_of_other_customers)
{
    ASSERT_EQ(submit("job"), result_code::ok);
    EXPECT_EQ(core::code_of(environment.jobs().status("labor", "job")),
              result_code::unknown_job);
    EXPECT_EQ(core::code_of(environment.jobs().cancel("labor", "job")),
              result_code::unknown_job);
    EXPECT_TRUE(core::value(environment.jobs().list("labor")).empty());
    environment.waiting_text = "waiting for 1 accelerator; it is next";
    EXPECT_EQ(core::value(environment.jobs().status("press", "job")).text,
              environment.waiting_text);
}

// Guards against a bulk cancellation that takes one transaction per job, or
// that fails for a whole batch because one of its jobs was placed.
TEST_F(table_job_service_test, bulk_cancellation_is_batched)
{
    for (int index = 0; index < 300; ++index)
        ASSERT_EQ(submit("job" + std::to_string(index)), result_code::ok);
    auto const commits = environment.table.commits;
    EXPECT_EQ(core::value(environment.jobs().cancel_queued("press")), 300U);
    EXPECT_EQ(environment.table.commits - commits, 6);
    EXPECT_TRUE(core::value(environment.jobs().list("press")).empty());
    EXPECT_EQ(environment.record("job299").state, job_state::cancelled);
}

// Guards against the placement of jobs after a bulk cancellation that the
// decider has not noticed.
TEST_F(table_job_service_test, decider_places_no_job_after_a_bulk_cancellation)
{
    for (auto& [id, agent] : environment.agents.agents)
        agent.finishes = false;
    support::decider_entry entry(environment, "a");
    for (int index = 0; index < 300; ++index)
        ASSERT_EQ(submit("job" + std::to_string(index)), result_code::ok);
    entry.run(std::chrono::seconds(1));
    EXPECT_EQ(environment.agents.started.size(), 24U);
    EXPECT_EQ(core::value(environment.jobs().cancel_queued("press")), 276U);
    EXPECT_TRUE(core::is_ok(entry.loop().handle_change("")));
    for (auto& [id, agent] : environment.agents.agents) {
        for (auto& [key, task] : agent.tasks) {
            task.state = support::fake_agents::task_state::ended;
            task.report.state = peers::member_state::finished;
        }
    }
    entry.run(std::chrono::seconds(2));
    EXPECT_EQ(environment.agents.started.size(), 24U);
    EXPECT_TRUE(core::value(environment.jobs().list("press")).empty());
}

} // namespace
} // namespace sequoiaroute::decider
