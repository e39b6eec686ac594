#include "scheduler/advice_planner.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

class advice_planner_test : public testing::Test
{
public:
    advice_planner_test()
    {
        job.submission.job_id = "j";
        job.submission.parameters.ticket_validity = 3s;
        waiting.group.service = "s";
        waiting.group.task = {1000, 1000, 1};
        add_worker("a", 1);
        add_worker("b", 8);
        add_worker("c", 0);
    }

    void add_worker(std::string const& agent, std::int64_t free)
    {
        placement::worker worker;
        worker.agent = agent;
        worker.executor = "i-" + agent;
        worker.service = "s";
        worker.capacity = {128'000, 512'000, 8};
        worker.free_after_stops = {128'000, 512'000, free};
        workers.push_back(worker);
    }

    void set_tasks(std::int32_t count)
    {
        for (std::int32_t index = 0; index < count; ++index)
            waiting.tasks.push_back({"j", 2, 1, index});
        waiting.group.count = waiting.tasks.size();
    }

    std::vector<std::string>
    requested_executors(std::vector<std::string> const& agents)
    {
        auto const request =
            plan_advice_request(job, waiting, agents, workers, now);
        return request ? request->executors : std::vector<std::string>();
    }

    void record_answer(std::vector<std::string> const& executors,
                       std::map<std::string, std::string> const& tickets)
    {
        job.advice[{2, 1}].record(executors, tickets, now);
    }

    using names = std::vector<std::string>;

    core::time_point now{1000s};
    open_job job;
    waiting_tasks waiting;
    std::vector<placement::worker> workers;
};

TEST_F(advice_planner_test,
       queries_executors_with_the_most_free_accelerators_first)
{
    set_tasks(1);
    EXPECT_EQ(requested_executors({}), (names{"i-b", "i-a", "i-c"}));
    EXPECT_EQ(plan_advice_request(job, waiting, {}, workers, now)->step_name(),
              "j.2.1");
}

// Guards against repeated queries of the same executors; the service takes time
// for each.
TEST_F(advice_planner_test, queries_each_executor_once)
{
    set_tasks(2);
    record_answer({"i-a", "i-b"}, {{"i-b", "t1"}});
    EXPECT_EQ(requested_executors({"b"}), (names{"i-c"}));
    EXPECT_TRUE(requested_executors({"b", "b"}).empty());
}

// Guards against starts that executors refuse because the ticket has expired.
TEST_F(advice_planner_test, renews_only_the_tickets_of_the_executors_chosen)
{
    set_tasks(1);
    record_answer({"i-a", "i-b", "i-c"}, {{"i-a", "t1"}, {"i-b", "t2"}});
    now += 2s;
    EXPECT_TRUE(requested_executors({"b"}).empty());
    now += 1s;
    EXPECT_EQ(requested_executors({"b"}), (names{"i-b"}));
    auto const& advice = job.advice.at(step_key{2, 1});
    EXPECT_FALSE(advice.ticket("i-b", earliest_usable_ticket_time(job, now)));
    record_answer({"i-b"}, {{"i-b", "t3"}});
    EXPECT_EQ(advice.ticket("i-b", earliest_usable_ticket_time(job, now)),
              "t3");
}

} // namespace
} // namespace sequoiaroute::scheduler
