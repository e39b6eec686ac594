#include "soak/invariant_checker.hpp"

#include "support/manual_clock.hpp"

#include <gmock/gmock.h>

namespace sequoiaroute::soak {
namespace {

using testing::ElementsAre;

jobs::resources const capacity{1000, 1000, 8};

class invariant_checker_test : public testing::Test
{
protected:
    invariant_checker_test()
    {
        auto& job = checker_.jobs()["j"];
        job.payload = "p";
        job.step_sizes = {2};
    }

    void start(run_history::key const& run, std::string const& agent,
               std::int64_t accelerators_in_use)
    {
        jobs::resources in_use;
        in_use.accelerators = accelerators_in_use;
        checker_.on_start(run, agent, "p", in_use, capacity);
    }

    support::manual_clock clock_;
    invariant_checker checker_{clock_};
    run_history::key const first_{{{"j", 0, 0, 0}, 1}, "i-1@5"};
    run_history::key const second_{{{"j", 0, 0, 0}, 2}, "i-2@6"};
    run_history::key const other_task_{{{"j", 0, 0, 1}, 1}, "i-1@5"};
};

// Guards against violations that leave open how the earlier run ended, which
// happens after the violation.
TEST_F(invariant_checker_test, describes_both_runs_until_their_ends)
{
    clock_.advance(core::duration(100));
    start(first_, "agent-1", 1);
    clock_.advance(core::duration(50));
    start(second_, "agent-2", 1);
    clock_.advance(core::duration(30));
    checker_.on_stop(first_);
    clock_.advance(core::duration(150));
    checker_.on_end(first_, jobs::run_end::stopped);
    clock_.advance(core::duration(20));
    checker_.on_acknowledged(first_, jobs::run_end::stopped);
    EXPECT_THAT(
        checker_.violations(),
        ElementsAre(
            "j.0.0.0/2 was started on i-2@6 while j.0.0.0/1 runs on i-1@5\n"
            "    j.0.0.0/1 on i-1@5 from agent-1: start 100 ms, stop 180 ms, "
            "end 330 ms (stopped), acknowledged 350 ms\n"
            "    j.0.0.0/2 on i-2@6 from agent-2: start 150 ms, stop -, "
            "end -, acknowledged -"));
}

// Guards against reports of exceeded capacity that do not say which runs use
// it.
TEST_F(invariant_checker_test, describes_all_runs_of_an_overcommitted_executor)
{
    start(first_, "agent-1", 8);
    clock_.advance(core::duration(40));
    start(other_task_, "agent-1", 9);
    clock_.advance(core::duration(10));
    checker_.on_incarnation_end("i-1@5");
    EXPECT_THAT(checker_.violations(),
                ElementsAre("j.0.0.1/1 exceeds the capacity of i-1@5: 9 "
                            "accelerators, 0 millicores in use\n"
                            "    j.0.0.0/1 on i-1@5 from agent-1: start 0 ms, "
                            "stop -, end 50 ms (lost), acknowledged -\n"
                            "    j.0.0.1/1 on i-1@5 from agent-1: start 40 ms, "
                            "stop -, end 50 ms (lost), acknowledged -"));
}

// Guards against reports of a task that ran again without the run that was
// done.
TEST_F(invariant_checker_test, describes_the_run_that_was_done_before)
{
    start(first_, "agent-1", 1);
    checker_.on_end(first_, jobs::run_end::done);
    start(second_, "agent-2", 1);
    clock_.advance(core::duration(10));
    checker_.on_acknowledged(first_, jobs::run_end::done);
    EXPECT_THAT(
        checker_.violations(),
        ElementsAre("j.0.0.0/1 had ended as done when a later run was started\n"
                    "    j.0.0.0/1 on i-1@5 from agent-1: start 0 ms, stop -, "
                    "end 0 ms (done), acknowledged 10 ms\n"
                    "    j.0.0.0/2 on i-2@6 from agent-2: start 0 ms, stop -, "
                    "end -, acknowledged -"));
}

// Guards against a check that misses starts in an evacuated data centre, or
// counts those within the bound or after its end.
TEST_F(invariant_checker_test, finds_starts_in_an_evacuated_data_centre)
{
    checker_.on_evacuation("r0");
    clock_.advance(core::duration(5000));
    checker_.on_timely_start(first_.run, "r0");
    clock_.advance(core::duration(1));
    checker_.on_timely_start(first_.run, "r1");
    EXPECT_TRUE(checker_.violations().empty());
    checker_.on_timely_start(first_.run, "r0");
    EXPECT_EQ(checker_.violations().size(), 1U);
    checker_.on_evacuation_end("r0");
    checker_.on_timely_start(first_.run, "r0");
    EXPECT_EQ(checker_.violations().size(), 1U);
}

} // namespace
} // namespace sequoiaroute::soak
