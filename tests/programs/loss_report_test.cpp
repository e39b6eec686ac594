#include "programs/loss_report_output.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include <fmt/format.h>

namespace sequoiaroute::programs {
namespace {

class loss_report_test : public testing::Test
{
public:
    /// Adds an event; the fields follow as JSON without braces.
    void add(std::int64_t time_ms, std::string const& type,
             std::string const& fields, std::string const& node = "entry-1")
    {
        auto const event = parse_event(
            fmt::format(R"({{"time_ms":{},"node":"{}","event":"{}",{}}})",
                        time_ms, node, type, fields));
        ASSERT_TRUE(core::is_ok(event)) << type;
        report.add(core::value(event));
    }

    /// Accepts and queues the job j, of two tasks with two cores and one
    /// accelerator each.
    void begin_job()
    {
        add(1000, "job_accepted", R"("job":"j")");
        add(1050, "job_queued",
            R"("job":"j","queue":"q","customer":"press","tasks":2,)"
            R"("millicores":4000,"accelerators":2)");
    }

    void order(std::int64_t time_ms, int run)
    {
        add(time_ms, "run_ordered",
            fmt::format(R"("job":"j","run":"j.0.0.0/{}","agent":"a")", run));
    }

    void start(std::int64_t time_ms, int run)
    {
        add(time_ms, "start_answered",
            fmt::format(R"("run":"j.0.0.0/{}","outcome":"done")", run));
    }

    void end(std::int64_t time_ms, int run, std::string const& how)
    {
        add(time_ms, "run_ended",
            fmt::format(R"("job":"j","run":"j.0.0.0/{}","end":"{}")", run,
                        how));
    }

    loss_sum lost_to(loss_cause cause) const
    {
        return report.total()[static_cast<std::size_t>(cause)];
    }

    loss_report report;
};

TEST_F(loss_report_test, splits_the_time_of_a_job_by_cause)
{
    begin_job();
    order(3050, 1);
    start(3150, 1);
    add(4150, "run_end_listed", R"("run":"j.0.0.0/1","end":"failed")");
    end(4200, 1, "failed");
    order(4500, 2);
    start(4500, 2);
    end(6000, 2, "done");
    add(6000, "job_finished", R"("job":"j","state":"completed")");
    EXPECT_EQ(lost_to(loss_cause::queueing).waited_ms, 50);
    EXPECT_EQ(lost_to(loss_cause::resources).waited_ms, 2000);
    EXPECT_EQ(lost_to(loss_cause::agent).waited_ms, 100);
    EXPECT_EQ(lost_to(loss_cause::end_report).waited_ms, 50);
    EXPECT_EQ(lost_to(loss_cause::failure).waited_ms, 300);
    // One second on two cores and an accelerator.
    EXPECT_DOUBLE_EQ(lost_to(loss_cause::failure).core_seconds, 10);
    EXPECT_EQ(lost_to(loss_cause::failure).jobs, 1);
    EXPECT_EQ(report.finished_jobs(), 1);
    EXPECT_EQ(report.by_queue().count("q"), 1U);
    EXPECT_EQ(report.by_customer().count("press"), 1U);
}

TEST_F(loss_report_test, tells_stops_by_their_reason)
{
    add(0, "executor_joined", R"("agent":"a","data_centre":"z")", "agent-1");
    begin_job();
    order(1050, 1);
    start(1100, 1);
    add(2000, "run_stop_ordered",
        R"("job":"j","run":"j.0.0.0/1","reason":"preempted by urgent work")");
    end(2100, 1, "stopped");
    order(5100, 2);
    report.finish();
    EXPECT_EQ(lost_to(loss_cause::preemption).waited_ms, 3000);
    EXPECT_DOUBLE_EQ(lost_to(loss_cause::preemption).core_seconds, 10);
    EXPECT_EQ(report.by_data_centre().count("z"), 1U);
    EXPECT_EQ(report.unfinished_jobs(), 1);
}

// Guards against blaming a lack of resources for an outage of the store, and
// against taking one entry's trouble for an outage.
TEST_F(loss_report_test, counts_outages_and_hand_overs_by_themselves)
{
    for (auto const* entry : {"entry-1", "entry-2", "entry-3"})
        add(0, "rules_in_force", R"("version":1)", entry);
    add(100, "store_lost", R"("x":0)", "entry-3");
    begin_job();
    add(2000, "store_lost", R"("x":0)", "entry-2");
    add(4000, "store_regained", R"("x":0)", "entry-2");
    add(5000, "lease_acquired", R"("term":2,"unchanged_ms":500)", "entry-2");
    add(5200, "decider_ready", R"("jobs":1)", "entry-2");
    order(6050, 1);
    report.finish();
    EXPECT_EQ(lost_to(loss_cause::store).waited_ms, 2000);
    EXPECT_EQ(lost_to(loss_cause::hand_over).waited_ms, 700);
    EXPECT_EQ(lost_to(loss_cause::resources).waited_ms, 2300);
}

// Guards against jobs that are counted again, or kept for ever, because they
// are named after their end or are never accepted.
TEST_F(loss_report_test, keeps_only_open_jobs)
{
    begin_job();
    add(2000, "job_finished", R"("job":"j","state":"completed")");
    begin_job();
    EXPECT_EQ(report.open_job_count(), 0U);
    for (int count = 0; count < 100; ++count) {
        add(10'000 + count * 10'000, "job_refused",
            fmt::format(R"("job":"r{}")", count));
    }
    EXPECT_LE(report.open_job_count(), 7U);
    report.finish();
    EXPECT_EQ(report.finished_jobs(), 1);
    EXPECT_EQ(report.never_accepted_jobs(), 100);
}

// Guards against an odd line that ends the report or hides other lines.
TEST_F(loss_report_test, ignores_odd_fields)
{
    add(1, "job_queued", R"("job":7,"tasks":"x")");
    add(2, "run_ordered", R"("job":"j","run":"")");
    add(3, "run_ended", R"("job":"j","run":"/","end":[])");
    add(4, "start_answered", R"("run":"...","outcome":"done")");
    add(5, "job_queued", R"("job":"k","tasks":0,"millicores":1e300)");
    report.finish();
    EXPECT_EQ(report.unfinished_jobs(), 1);
}

TEST_F(loss_report_test, prints_tables_json_and_an_image)
{
    begin_job();
    order(3050, 1);
    report.finish();
    EXPECT_NE(to_text(report, 3).find("resources"), std::string::npos);
    EXPECT_NE(to_json(report, 3).find(R"("skipped_lines":3)"),
              std::string::npos);
    EXPECT_NE(to_svg(report).find("</svg>"), std::string::npos);
}

TEST(log_reader, merges_logs_by_time_and_skips_odd_lines)
{
    std::vector<std::unique_ptr<std::istream>> logs;
    logs.push_back(std::make_unique<std::istringstream>(
        "{\"time_ms\":1,\"node\":\"a\",\"event\":\"one\"}\n"
        "not an event\n"
        "{\"time_ms\":5,\"node\":\"a\",\"event\":\"three\"}\n"
        "{\"time_ms\":6,\"node\":\"a\",\"ev"));
    logs.push_back(std::make_unique<std::istringstream>(
        "prefix {\"time_ms\":3,\"node\":\"b\",\"event\":\"two\"}\n"
        "{\"time_ms\":1e300,\"node\":\"b\",\"event\":\"x\"}\n"));
    log_reader reader(std::move(logs));
    std::string types;
    for (logged_event event; reader.next(event);)
        types += event.type + " ";
    EXPECT_EQ(types, "one two three ");
    EXPECT_EQ(reader.skipped_lines(), 3);
}

} // namespace
} // namespace sequoiaroute::programs
