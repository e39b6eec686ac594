#include "workers/agent.hpp"
#include "workers/mocks.hpp"

#include "support/manual_clock.hpp"
#include "support/memory_table.hpp"

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;
using core::result_code;
using platform::task_state;
using testing::_;
using testing::NiceMock;
using testing::Return;
namespace kind = peers::message_kind;

agent_settings make_settings(peers::target_kind target)
{
    agent_settings settings;
    settings.agent_id = "w1";
    settings.kind = target;
    settings.slots = 8;
    settings.contact_limit = 20s;
    settings.authority_limit = 90min;
    settings.checkpoint_grace = 5s;
    settings.drain_grace = 30s;
    settings.gang_beat_period = 1s;
    settings.unstored_result_bytes = 1000;
    settings.supervisor.worker_id = "w1";
    settings.supervisor.total = {8, 1000, 8};
    settings.entry_client.agent_id = "w1";
    settings.entry_client.seed_addresses = {"10.0.0.1:1"};
    return settings;
}

class agent_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ON_CALL(links_, link_to(_)).WillByDefault(Return(link_));
        ON_CALL(*link_, call(_, _, _))
            .WillByDefault(
                [this](auto, core::json const& body,
                       auto) -> core::result<peers::answer_envelope> {
                    std::lock_guard const lock(mutex_);
                    if (is_network_down_)
                        return unreachable();
                    last_body_ = body;
                    peers::report_answer answer;
                    answer.authority_age_ms = authority_age_.count();
                    return ok_answer(answer);
                });
        ON_CALL(runtime_, start(_)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, renew(_, _)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, checkpoint(_)).WillByDefault(Return(core::success()));
    }

    peers::answer_envelope send(agent& target, std::string const& message,
                                core::json const& body)
    {
        return target.handle({message, "entry-1", "i1", "", body});
    }

    void start_task(agent& target, std::string const& job_id = "j1")
    {
        peers::task_command command;
        command.job_id = job_id;
        command.attempt = 1;
        EXPECT_EQ(send(target, kind::start, command).code, 0);
    }

    /// @param age authority age in the answer of the entry
    /// @return the phase of a task after its agent has reported to the entry
    member_phase phase_with_authority_age(core::duration age)
    {
        authority_age_ = age;
        core::timer_service timers(8);
        agent target(make_settings(peers::target_kind::worker), "i2",
                     dependencies_);
        start_task(target);
        target.start(timers);
        std::this_thread::sleep_for(600ms);
        auto const dump = send(target, kind::dump, nullptr);
        return static_cast<member_phase>(
            dump.body.at("members")[0].at("phase").get<int>());
    }

    std::mutex mutex_;
    support::manual_clock clock_;
    support::memory_table table_;
    NiceMock<mock_store> store_;
    NiceMock<mock_executor> executor_;
    NiceMock<mock_runtime> runtime_;
    NiceMock<mock_link_pool> links_;
    std::shared_ptr<NiceMock<mock_link>> link_ =
        std::make_shared<NiceMock<mock_link>>();
    bool is_network_down_ = false;
    core::duration authority_age_{}; ///< in the answers of entries
    core::json last_body_;
    agent_dependencies dependencies_{clock_,    table_,   store_,
                                     executor_, runtime_, links_};
    agent worker_{make_settings(peers::target_kind::worker), "i1",
                  dependencies_};
    agent executor_agent_{make_settings(peers::target_kind::executor), "i1",
                          dependencies_};
};

// Guards against a task that runs twice: a worker without contact must stop its
// tasks before the decider replaces it after 30 s.
TEST_F(agent_test, stops_tasks_after_twenty_seconds_without_contact)
{
    start_task(worker_);
    is_network_down_ = true;
    clock_.advance(19999ms);
    EXPECT_CALL(runtime_, checkpoint(_)).Times(0);
    worker_.check_contact();
    testing::Mock::VerifyAndClearExpectations(&runtime_);
    SetUp();
    EXPECT_CALL(runtime_, checkpoint(std::string_view("j1.1.0"))).Times(1);
    clock_.advance(1ms);
    worker_.check_contact();
    worker_.check_contact();
}

// Guards against finished jobs whose reports are blocked by the report of a
// gang member that ended before the other members.
TEST_F(agent_test, report_of_unfinished_gang_blocks_no_other_report)
{
    std::vector<platform::task_report> tasks(2);
    tasks[0].task_id = "j1.1.0";
    tasks[1].task_id = "j2.1.0";
    for (auto& task : tasks)
        task.state = task_state::finished;
    ON_CALL(runtime_, tasks()).WillByDefault(Return(tasks));
    std::vector<std::string> reported;
    ON_CALL(*link_, call(_, _, _))
        .WillByDefault([&](auto message, core::json const& body,
                           auto) -> core::result<peers::answer_envelope> {
            if (message != kind::task_report)
                return ok_answer(peers::report_answer{});
            std::lock_guard const lock(mutex_);
            reported.push_back(body.at("job_id"));
            auto const code = reported.back() == "j1"
                                  ? result_code::still_running
                                  : result_code::ok;
            return peers::answer_envelope{static_cast<std::uint16_t>(code), "",
                                          "peer", nullptr};
        });
    core::timer_service timers(8);
    agent target(make_settings(peers::target_kind::worker), "i2",
                 dependencies_);
    start_task(target, "j1");
    start_task(target, "j2");
    target.start(timers);
    std::this_thread::sleep_for(1500ms);
    std::lock_guard const lock(mutex_);
    EXPECT_GE(std::count(reported.begin(), reported.end(), "j1"), 2);
    EXPECT_EQ(std::count(reported.begin(), reported.end(), "j2"), 1);
}

// Guards against a gang with two members on one worker that never finishes:
// the decider answers still_running until all members have reported.
TEST_F(agent_test, sends_later_reports_although_one_is_not_accepted)
{
    std::set<int> reported;
    ON_CALL(*link_, call(std::string_view(kind::task_report), _, _))
        .WillByDefault([&](auto, core::json const& body,
                           auto) -> core::result<peers::answer_envelope> {
            std::lock_guard const lock(mutex_);
            reported.insert(body.at("member").get<int>());
            peers::answer_envelope answer;
            answer.code =
                static_cast<std::uint16_t>(result_code::still_running);
            return answer;
        });
    core::timer_service timers(8);
    agent target(make_settings(peers::target_kind::worker), "i2",
                 dependencies_);
    for (int const member : {0, 1}) {
        peers::task_command command;
        command.job_id = "j1";
        command.attempt = 1;
        command.member = member;
        EXPECT_EQ(send(target, kind::start, command).code, 0);
    }
    std::vector<platform::task_report> const ended{
        {"j1.1.0", task_state::finished, "", "", ""},
        {"j1.1.1", task_state::finished, "", "", ""}};
    ON_CALL(runtime_, tasks()).WillByDefault(Return(ended));
    target.start(timers);
    constexpr int round_limit = 100;
    auto const count = [&] {
        std::lock_guard const lock(mutex_);
        return reported.size();
    };
    for (int round = 0; round < round_limit && count() < 2; ++round)
        std::this_thread::sleep_for(50ms);
    std::lock_guard const lock(mutex_);
    EXPECT_EQ(reported, (std::set<int>{0, 1}));
}

// Guards against tasks that run beyond the limit after which the decider
// replaces a silent worker, because an entry that has itself lost contact with
// the table and the decider still answers.
TEST_F(agent_test, stops_tasks_when_authority_age_reaches_the_limit)
{
    EXPECT_EQ(phase_with_authority_age(89min), member_phase::running);
    EXPECT_EQ(phase_with_authority_age(90min), member_phase::stopping);
}

// Guards against a drain that interrupts tasks or accepts new ones.
TEST_F(agent_test, leaving_worker_refuses_work_and_waits_for_its_tasks)
{
    start_task(worker_);
    worker_.begin_drain();
    EXPECT_EQ(last_body_.at("is_leaving"), true);
    EXPECT_FALSE(worker_.is_idle());
    peers::task_command late_command;
    late_command.job_id = "j2";
    EXPECT_EQ(send(worker_, kind::reserve, late_command).code,
              static_cast<int>(result_code::refused_not_run));
}

TEST_F(agent_test, leaving_executor_is_drained_when_results_are_stored)
{
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return("answer"));
    peers::dispatch dispatch{"a1", "r1", "c1", "body", 1000, false, 0};
    EXPECT_EQ(send(executor_agent_, kind::dispatch, dispatch).body.at("body"),
              "answer");
    executor_agent_.begin_drain();
    dispatch.attempt_id = "a2";
    EXPECT_EQ(send(executor_agent_, kind::dispatch, dispatch).body.at("code"),
              static_cast<int>(result_code::refused_not_run));
    EXPECT_TRUE(executor_agent_.is_idle());
    EXPECT_FALSE(executor_agent_.is_drained());
    auto const answer = send(executor_agent_, kind::query,
                             peers::attempt_reference{"", "c1", "r1"});
    EXPECT_EQ(answer.code, 0);
}

// Guards against a malformed message that terminates the process.
TEST_F(agent_test, refuses_malformed_and_unsupported_messages)
{
    auto const bad = static_cast<int>(result_code::bad_request);
    EXPECT_EQ(send(worker_, kind::start, {{"job_id", 3}}).code, bad);
    EXPECT_EQ(send(worker_, kind::dispatch, nullptr).code, bad);
    EXPECT_EQ(send(executor_agent_, kind::reserve, nullptr).code, bad);
    EXPECT_EQ(send(worker_, "unheard_of", nullptr).code, bad);
}

} // namespace
} // namespace sequoiaroute::workers
