#include "policy/quarantine.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

core::time_point at(int minutes)
{
    return core::time_point(std::chrono::minutes(minutes));
}

struct quarantine_rules : testing::Test
{
    void fail(std::string worker, std::string job, std::string customer,
              std::string kind = "proof", int minute = 0)
    {
        rules.note_failure({std::move(worker), std::move(job),
                            std::move(customer), std::move(kind), at(minute)},
                           10);
    }

    quarantine rules;
};

// Guards against a worker that fails every task and still receives work.
TEST_F(quarantine_rules, three_jobs_of_two_customers_suffice)
{
    fail("w0", "one", "press");
    fail("w0", "two", "press");
    EXPECT_FALSE(rules.is_quarantined("w0", at(0)));
    fail("w0", "three", "labor");
    EXPECT_TRUE(rules.is_quarantined("w0", at(0)));
    EXPECT_FALSE(rules.is_quarantined("w0", at(30)));
}

// Guards against a worker blamed for one bad job or one customer's bad kind.
TEST_F(quarantine_rules, one_job_or_one_customer_is_no_evidence)
{
    for (int count = 0; count < 5; ++count)
        fail("w0", "same", count % 2 == 0 ? "press" : "labor");
    for (int count = 0; count < 5; ++count)
        fail("w1", "job" + std::to_string(count), "press");
    EXPECT_TRUE(rules.quarantined(at(0)).empty());
    fail("w1", "job5", "press", "scan");
    fail("w1", "job6", "press", "build");
    EXPECT_TRUE(rules.is_quarantined("w1", at(0)));
}

// Guards against old failures, or failures before a success, as evidence.
TEST_F(quarantine_rules, evidence_ends_with_time_and_success)
{
    fail("w0", "one", "press");
    fail("w0", "two", "labor");
    fail("w0", "three", "press", "proof", 11);
    EXPECT_FALSE(rules.is_quarantined("w0", at(11)));
    fail("w0", "four", "labor", "proof", 11);
    rules.note_success("w0");
    fail("w0", "five", "press", "proof", 11);
    EXPECT_FALSE(rules.is_quarantined("w0", at(11)));
}

// Guards against a bad job that takes several workers out.
TEST_F(quarantine_rules, job_that_fails_everywhere_counts_against_no_worker)
{
    fail("w0", "bad", "press");
    fail("w0", "two", "labor");
    fail("w0", "three", "press");
    EXPECT_TRUE(rules.is_quarantined("w0", at(0)));
    rules.discard_failures_of_job("bad");
    EXPECT_FALSE(rules.is_quarantined("w0", at(0)));
}

// Guards against a shared fault that empties the fleet.
TEST_F(quarantine_rules, at_most_one_in_five_is_out)
{
    for (int worker = 0; worker < 10; ++worker) {
        auto const id = "w" + std::to_string(worker);
        fail(id, "one", "press");
        fail(id, "two", "labor");
        fail(id, "three", "press");
    }
    EXPECT_EQ(rules.quarantined(at(0)).size(), 2U);
}

} // namespace
} // namespace sequoiaroute::policy
