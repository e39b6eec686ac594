#include "policy/quarantine.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

core::time_point at(int minutes)
{
    return core::time_point(std::chrono::minutes(minutes));
}

struct quarantine_test : testing::Test
{
    void fail(std::string worker, std::string job, std::string customer,
              std::string kind = "proof", int minute = 0)
    {
        subject.record_failure({std::move(worker), std::move(job),
                                std::move(customer), std::move(kind),
                                at(minute)},
                               10);
    }

    quarantine subject;
};

// Guards against sending work to a worker on which every task fails.
TEST_F(quarantine_test, quarantines_after_three_jobs_of_two_customers)
{
    fail("w0", "one", "press");
    fail("w0", "two", "press");
    EXPECT_FALSE(subject.is_quarantined("w0", at(0)));
    fail("w0", "three", "labor");
    EXPECT_TRUE(subject.is_quarantined("w0", at(0)));
    EXPECT_FALSE(subject.is_quarantined("w0", at(30)));
}

// Guards against quarantine of a worker because of one faulty job, or one kind
// of work of a single customer.
TEST_F(quarantine_test, ignores_single_job_and_single_customer)
{
    for (int count = 0; count < 5; ++count)
        fail("w0", "same", count % 2 == 0 ? "press" : "labor");
    for (int count = 0; count < 5; ++count)
        fail("w1", "job" + std::to_string(count), "press");
    EXPECT_TRUE(subject.quarantined(at(0)).empty());
    fail("w1", "job5", "press", "scan");
    fail("w1", "job6", "press", "build");
    EXPECT_TRUE(subject.is_quarantined("w1", at(0)));
}

// Guards against counting failures that are outdated or precede a success.
TEST_F(quarantine_test, evidence_expires_and_success_clears_it)
{
    fail("w0", "one", "press");
    fail("w0", "two", "labor");
    fail("w0", "three", "press", "proof", 11);
    EXPECT_FALSE(subject.is_quarantined("w0", at(11)));
    fail("w0", "four", "labor", "proof", 11);
    subject.record_success("w0");
    fail("w0", "five", "press", "proof", 11);
    EXPECT_FALSE(subject.is_quarantined("w0", at(11)));
}

// Guards against a faulty job that keeps workers in quarantine.
TEST_F(quarantine_test, discards_evidence_of_job_that_fails_everywhere)
{
    fail("w0", "bad", "press");
    fail("w0", "two", "labor");
    fail("w0", "three", "press");
    EXPECT_TRUE(subject.is_quarantined("w0", at(0)));
    subject.discard_failures_of_job("bad");
    EXPECT_FALSE(subject.is_quarantined("w0", at(0)));
}

// Guards against a shared fault that quarantines the whole fleet.
TEST_F(quarantine_test, quarantines_at_most_one_in_five)
{
    for (int worker = 0; worker < 10; ++worker) {
        auto const id = "w" + std::to_string(worker);
        fail(id, "one", "press");
        fail(id, "two", "labor");
        fail(id, "three", "press");
    }
    EXPECT_EQ(subject.quarantined(at(0)).size(), 2U);
}

} // namespace
} // namespace sequoiaroute::policy
