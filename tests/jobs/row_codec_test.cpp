#include "jobs/row_codec.hpp"
#include "jobs/rules.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::jobs {
namespace {

step_spec make_step_with_options()
{
    step_spec step;
    step.task_count = 3;
    step.task = {2000, 512, 4};
    step.estimate = core::duration(900);
    step.after = {0};
    step.is_gang = true;
    step.is_rack_local = true;
    step.has_checkpoints = true;
    step.is_speculative = true;
    step.is_long_running = true;
    step.allowed_absences = 1;
    step.required_label = "a";
    step.data_rack = "r1-2";
    step.max_per_worker = 2;
    return step;
}

// Guards against fields that get lost on the way from the entry to the decider.
TEST(row_codec, round_trips_a_submission)
{
    submission job;
    job.job_id = "j1";
    job.customer = "press";
    job.parameters = {"proofs", "pressroom", 2, 3, 1.5, core::duration(250)};
    job.spec.payload = "text \"quoted\"";
    job.spec.steps = {step_spec{}, make_step_with_options()};
    job.spec.repeats = 4;
    job.spec.first_due_ms = 1'700'000'000'000;
    job.spec.interval = core::duration(3000);
    job.accepted_at = core::duration(77);
    auto const text = encode(job);
    auto const decoded = decode_submission(text);
    ASSERT_TRUE(core::is_ok(decoded));
    EXPECT_EQ(encode(core::value(decoded)), text);
    auto const& step = core::value(decoded).spec.steps[1];
    EXPECT_EQ(step.task, make_step_with_options().task);
    EXPECT_TRUE(step.is_gang && step.is_rack_local && step.has_checkpoints);
    EXPECT_TRUE(step.is_speculative && step.is_long_running);
    EXPECT_EQ(step.required_label, "a");
    EXPECT_EQ(step.data_rack, "r1-2");
    EXPECT_EQ(step.max_per_worker, 2);
    EXPECT_EQ(step.allowed_absences, 1);
    EXPECT_EQ(core::value(decoded).spec.first_due_ms, 1'700'000'000'000);
}

TEST(row_codec, round_trips_progress)
{
    job_progress progress;
    progress.state = job_state::running;
    progress.has_started = true;
    progress.finished_occurrences = {0, 2};
    progress.occurrences[1].steps = {{{true, 1, 3, "cp", {2}}, {}}};
    auto const text = encode(progress);
    auto const decoded = decode_progress(text);
    ASSERT_TRUE(core::is_ok(decoded));
    EXPECT_EQ(encode(core::value(decoded)), text);
    EXPECT_EQ(core::value(decoded).occurrences.at(1).steps[0][0].checkpoint,
              "cp");
}

TEST(row_codec, round_trips_reports_and_orders)
{
    worker_report report;
    report.agent = "10.0.0.1";
    report.written_at = core::duration(77);
    report.worker = {{"i-1", 7},
                     "pressroom",
                     "a",
                     "r1",
                     worker_state::draining,
                     core::duration(40),
                     {1, 2, 3},
                     {"a", "r1"}};
    report.worker.cold_for = core::duration(900);
    report.running = {{{{"j", 0, 1, 2}, 3}, "cp", 40, 16, core::duration(0)}};
    report.ended = {{{{"j", 0, 1, 3}, 1}, run_end::broken, ""}};
    report.session = "s-1";
    auto const decoded = decode_report(encode(report));
    ASSERT_TRUE(core::is_ok(decoded));
    EXPECT_EQ(core::value(decoded), report);
    run_order order;
    order.agent = "10.0.0.1";
    order.executor = {"i-1", 7};
    order.run = {{"j", 0, 1, 2}, 3};
    order.payload = "payload";
    order.checkpoint = "cp";
    order.is_stop_requested = true;
    order.is_urgent = true;
    order.ticket = "t-7";
    order.response_target = core::duration(100);
    order.is_filler = true;
    order.session = "s-1";
    order.start_deadline = core::duration(7000);
    auto const decoded_order = decode_order(encode(order));
    ASSERT_TRUE(core::is_ok(decoded_order));
    EXPECT_EQ(encode(core::value(decoded_order)), encode(order));
    EXPECT_EQ(core::value(decoded_order).ticket, "t-7");
    EXPECT_EQ(core::value(decoded_order).response_target, core::duration(100));
    EXPECT_TRUE(core::value(decoded_order).is_filler);
    EXPECT_EQ(core::value(decoded_order).session, "s-1");
    EXPECT_EQ(core::value(decoded_order).start_deadline, core::duration(7000));
}

// Guards against a crash on an invalid row, which another program may have
// written.
TEST(row_codec, rejects_invalid_rows)
{
    EXPECT_FALSE(core::is_ok(decode_report("{}")));
    EXPECT_FALSE(core::is_ok(decode_order("\xff\x00")));
    EXPECT_FALSE(core::is_ok(decode_progress("[1,2]")));
    EXPECT_FALSE(core::is_ok(decode_submission("{\"job\":3}")));
}

queue_rule make_queue(std::string name, std::string host, std::string prefix)
{
    queue_rule queue;
    queue.parameters.queue = std::move(name);
    queue.host = std::move(host);
    queue.path_prefix = std::move(prefix);
    return queue;
}

// Guards against a queue with a short prefix that receives the requests for one
// with a longer prefix.
TEST(rules, finds_the_queue_with_the_longest_prefix)
{
    rules rules_in_force;
    rules_in_force.queues = {make_queue("short", "h", "/a/"),
                             make_queue("long", "h", "/a/b/"),
                             make_queue("other", "x", "/a/b/c/")};
    EXPECT_EQ(rules_in_force.find_queue("h", "/a/b/1")->parameters.queue,
              "long");
    EXPECT_EQ(rules_in_force.find_queue("h", "/a/1")->parameters.queue,
              "short");
    EXPECT_EQ(rules_in_force.find_queue("h", "/c/1"), nullptr);
}

} // namespace
} // namespace sequoiaroute::jobs
