#include "policy/job_transitions.hpp"

#include "policy/job_status_text.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

namespace transitions = job_transitions;
using core::result_code;

job_record in_state(job_state state)
{
    job_record record;
    record.job_id = "job";
    record.state = state;
    record.attempt = 4;
    return record;
}

job_state state_of(transitions::change const& change)
{
    EXPECT_TRUE(core::is_ok(change));
    return core::value(change).state;
}

// Guards against transitions from a wrong state, which would start or end an
// attempt twice.
TEST(job_transitions, allows_transitions_only_from_valid_states)
{
    for (int number = 0; number <= 9; ++number) {
        auto const state = static_cast<job_state>(number);
        auto const record = in_state(state);
        auto const allowed = [](transitions::change const& change) {
            return core::is_ok(change);
        };
        EXPECT_EQ(allowed(transitions::reserve(record, 1, {}, false)),
                  state == job_state::queued);
        EXPECT_EQ(allowed(transitions::commit(record)),
                  state == job_state::reserving);
        EXPECT_EQ(allowed(transitions::abandon(record)),
                  state == job_state::reserving);
        EXPECT_EQ(allowed(transitions::stop(record, result_code::ok, "")),
                  state == job_state::running);
        EXPECT_EQ(allowed(transitions::end_attempt(record)),
                  state == job_state::stopping);
        EXPECT_EQ(allowed(transitions::finish(record, 4, "key")),
                  state == job_state::running || state == job_state::stopping);
        EXPECT_EQ(allowed(transitions::cancel(record)), !is_final(state));
        EXPECT_EQ(allowed(transitions::reject(record, "")),
                  state == job_state::queued);
    }
}

// Guards against finishing a job with the result of an older attempt.
TEST(job_transitions, refuses_finish_of_older_attempt)
{
    auto const running = in_state(job_state::running);
    EXPECT_EQ(core::code_of(transitions::finish(running, 3, "key")),
              result_code::conflict);
}

// Guards against losing a cancellation that arrives during an attempt.
TEST(job_transitions, cancels_in_each_state)
{
    EXPECT_EQ(state_of(transitions::cancel(in_state(job_state::queued))),
              job_state::cancelled);
    auto cancelling =
        core::value(transitions::cancel(in_state(job_state::reserving)));
    EXPECT_FALSE(core::is_ok(transitions::commit(cancelling)));
    EXPECT_EQ(state_of(transitions::abandon(cancelling)), job_state::cancelled);
    cancelling = core::value(transitions::cancel(in_state(job_state::running)));
    cancelling =
        core::value(transitions::stop(cancelling, result_code::cancelled, ""));
    EXPECT_EQ(state_of(transitions::end_attempt(cancelling)),
              job_state::cancelled);
}

// Guards against running an unrepeatable job again after its attempt was
// committed.
TEST(job_transitions, does_not_requeue_unrepeatable_job)
{
    auto record = in_state(job_state::running);
    record.is_unrepeatable = true;
    auto const lost = core::value(
        transitions::stop(record, result_code::unreachable, "worker lost"));
    EXPECT_EQ(state_of(transitions::end_attempt(lost)),
              job_state::outcome_unknown);
    auto const failed = core::value(transitions::stop(
        record, result_code::execution_failed, "exit 1", "w0"));
    EXPECT_EQ(state_of(transitions::end_attempt(failed)), job_state::failed);
}

// Guards against endless retries of a job that fails on every worker, or on the
// only worker of a fleet.
TEST(job_transitions, bounds_retries_of_failing_job)
{
    auto const fail_attempt = [](job_record& record,
                                 std::string const& worker) {
        record.state = job_state::running;
        record = core::value(transitions::stop(
            record, result_code::execution_failed, "exit 1", worker));
        record = core::value(transitions::end_attempt(record));
        return record.state;
    };
    auto job = in_state(job_state::running);
    EXPECT_EQ(fail_attempt(job, "w0"), job_state::queued);
    EXPECT_EQ(fail_attempt(job, "w0"), job_state::queued);
    EXPECT_EQ(fail_attempt(job, "w1"), job_state::queued);
    EXPECT_EQ(fail_attempt(job, "w2"), job_state::fails_everywhere);
    EXPECT_THAT(job_status_text(job, ""),
                testing::EndsWith("(job_fails_everywhere)"));
    auto single_worker_job = in_state(job_state::running);
    for (int count = 1; count < 8; ++count)
        EXPECT_EQ(fail_attempt(single_worker_job, "w0"), job_state::queued);
    EXPECT_EQ(fail_attempt(single_worker_job, "w0"), job_state::failed);
}

// Guards against using an attempt number for two reservations.
TEST(job_transitions, increments_attempt_number)
{
    auto const reserving = core::value(transitions::reserve(
        in_state(job_state::queued), 7, {placed_member{}}, true));
    EXPECT_EQ(reserving.attempt, 5U);
    EXPECT_EQ(reserving.term, 7U);
    EXPECT_EQ(core::value(transitions::abandon(reserving)).attempt, 6U);
}

// Guards against a status without the waiting note or the result code.
TEST(job_status_text, shows_waiting_note_and_code)
{
    EXPECT_EQ(job_status_text(in_state(job_state::queued), "waiting for x"),
              "waiting for x");
    auto const cancelled =
        core::value(transitions::cancel(in_state(job_state::queued)));
    EXPECT_EQ(job_status_text(cancelled, ""),
              "cancelled: cancelled on request (cancelled)");
}

} // namespace
} // namespace sequoiaroute::policy
