#include "decider/job_engine.hpp"

#include "support/decider_environment.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace sequoiaroute::decider {
namespace {

using namespace std::chrono_literals;
using policy::job_state;

/// Links to the job engines by address; any other address is a fake agent's.
class engine_links final : public peers::link_pool
{
public:
    explicit engine_links(support::fake_agents& agents) : agents_(agents) {}

    std::shared_ptr<peers::link> link_to(std::string_view address) override
    {
        auto const found = engines.find(std::string(address));
        if (found == engines.end())
            return agents_.link_to(address);
        return std::make_shared<engine_link>(*found->second);
    }

    std::map<std::string, job_engine*> engines;

private:
    class engine_link final : public peers::link
    {
    public:
        explicit engine_link(job_engine& engine) : engine_(engine) {}
        core::result<peers::answer_envelope>
        call(std::string_view kind, core::json const& body,
             core::duration /*time_limit*/) override
        {
            return engine_.handle({std::string(kind), "x", "x", "", body});
        }

    private:
        job_engine& engine_;
    };

    support::disconnectable_links agents_;
};

struct job_engine_test : testing::Test
{
    job_engine_test()
    {
        links.engines = {{"first", &first}, {"second", &second}};
        first.start(timers);
        wait_until([this] { return first.is_decider(); });
        second.start(timers);
    }

    static void wait_until(std::function<bool()> const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        ASSERT_TRUE(condition());
    }

    engine_dependencies dependencies(std::string const& id)
    {
        return {environment.table,
                environment.objects,
                links,
                environment.directory,
                environment.rules,
                placement,
                clock,
                counters,
                {id, id + ".1", id, "", ""}};
    }

    job_state state(job_engine& engine, std::string const& id)
    {
        return core::value(engine.jobs().status("press", id)).record.state;
    }

    void send_reports_to(job_engine& engine)
    {
        environment.agents.report_to([&](peers::member_report const& report) {
            peers::envelope const message{peers::message_kind::task_report,
                                          "w0", "i1", "", report};
            return static_cast<core::result_code>(engine.handle(message).code);
        });
    }

    support::decider_environment environment;
    engine_links links{environment.agents};
    core::system_clock clock;
    core::counters counters;
    policy::first_fit_policy placement;
    core::timer_service timers;
    job_engine first{dependencies("first")};
    job_engine second{dependencies("second")};
};

// Guards against an entry that does not forward task reports, change
// notifications and note queries to the decider.
TEST_F(job_engine_test, any_entry_forwards_messages_to_the_decider)
{
    auto const term = [&] { return second.term(); };
    wait_until([&] { return term() == 1; });
    ASSERT_TRUE(
        core::is_ok(second.jobs().submit(environment.submission("gang", 3))));
    auto large = environment.submission("large", 30);
    ASSERT_TRUE(core::is_ok(second.jobs().submit(large)));
    wait_until([&] {
        send_reports_to(second);
        return state(second, "gang") == job_state::finished;
    });
    wait_until([&] {
        auto const status = core::value(second.jobs().status("press", "large"));
        return status.text.find("30 member(s)") != std::string::npos;
    });
    EXPECT_EQ(environment.agents.overlap_count, 0);
}

// Guards against a graceful stop that leaves jobs waiting for the lease to
// expire, or that makes tasks stop or start twice.
TEST_F(job_engine_test, stop_hands_running_jobs_to_another_entry)
{
    for (auto& [id, agent] : environment.agents.agents)
        agent.finishes = false;
    ASSERT_TRUE(
        core::is_ok(first.jobs().submit(environment.submission("gang", 3))));
    wait_until([&] { return state(second, "gang") == job_state::running; });
    first.stop();
    auto const stopped = std::chrono::steady_clock::now();
    wait_until([&] { return second.is_decider(); });
    EXPECT_LT(std::chrono::steady_clock::now() - stopped, 1500ms);
    EXPECT_EQ(second.term(), 2U);
    wait_until([&] { return second.dump()["jobs"].size() == 1; });
    EXPECT_EQ(state(second, "gang"), job_state::running);
    EXPECT_EQ(environment.agents.started["gang"].size(), 1U);
    EXPECT_TRUE(environment.agents.stops.empty());
}

} // namespace
} // namespace sequoiaroute::decider
