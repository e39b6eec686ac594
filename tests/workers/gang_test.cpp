#include "workers/gang_beat_sender.hpp"
#include "workers/gang_monitor.hpp"
#include "workers/mocks.hpp"

#include "support/manual_clock.hpp"

#include <chrono>
#include <thread>

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;
using peers::member_state;
using platform::task_state;
using testing::_;
using testing::NiceMock;
using testing::Return;

peers::task_command make_command(int member)
{
    peers::task_command command;
    command.job_id = "j1";
    command.attempt = 1;
    command.member = member;
    command.members = {
        {"w0", "10.0.0.1:1"}, {"w1", "10.0.0.2:1"}, {"w2", "10.0.0.3:1"}};
    return command;
}

/// One agent with tasks of one gang. Member 0 is the lead.
class gang_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ON_CALL(runtime_, start(_)).WillByDefault([this](auto const& task) {
            tasks_.push_back({task.task_id, task_state::running, "", "", ""});
            return core::success();
        });
        ON_CALL(runtime_, renew(_, _)).WillByDefault(Return(core::success()));
        ON_CALL(runtime_, stop(_)).WillByDefault([this](auto task_id) {
            for (auto& task : tasks_) {
                if (task.task_id == task_id)
                    task.state = task_state::stopped;
            }
            return core::success();
        });
        ON_CALL(runtime_, tasks()).WillByDefault([this] {
            return core::result<std::vector<platform::task_report>>(tasks_);
        });
        ON_CALL(links_, link_to(_)).WillByDefault(Return(link_));
    }

    /// Advances the clock in steps of 250 ms and ticks after each.
    void advance_and_tick(core::duration time)
    {
        for (auto elapsed = 0ms; elapsed < time; elapsed += 250ms) {
            clock_.advance(250ms);
            supervisor_.tick();
            gang_monitor_.tick();
            gang_beat_sender_.stop_members_of_silent_leads();
        }
    }

    /// Delivers the beat of a member to the lead.
    /// @return whether the member must stop
    bool beat(int member, member_state state = member_state::running)
    {
        return gang_monitor_.handle_beat({"j1", 1, member, state}).must_stop;
    }

    void answer_beats(bool must_stop)
    {
        ON_CALL(*link_, call(_, _, _))
            .WillByDefault(
                Return(ok_answer(peers::gang_beat_answer{must_stop})));
    }

    support::manual_clock clock_;
    NiceMock<mock_runtime> runtime_;
    NiceMock<mock_link_pool> links_;
    std::shared_ptr<NiceMock<mock_link>> link_ =
        std::make_shared<NiceMock<mock_link>>();
    std::vector<platform::task_report> tasks_;
    task_supervisor supervisor_{{"w0", {8, 1000, 8}}, clock_, runtime_};
    gang_monitor gang_monitor_{clock_, supervisor_, 3s};
    gang_beat_sender gang_beat_sender_{{}, clock_, supervisor_, links_};
};

// Guards against a gang that keeps running without one of its members.
TEST_F(gang_test, lead_stops_all_when_a_member_is_silent)
{
    supervisor_.start(make_command(0));
    for (int second = 0; second < 5; ++second) {
        EXPECT_FALSE(beat(1));
        EXPECT_FALSE(beat(2));
        advance_and_tick(1s);
    }
    // The last beat of member 2 is one second old; the silence limit is three.
    for (int second = 0; second < 2; ++second) {
        EXPECT_FALSE(beat(1));
        advance_and_tick(1s);
    }
    EXPECT_TRUE(beat(1));
    EXPECT_TRUE(beat(2));
    advance_and_tick(250ms);
    EXPECT_TRUE(supervisor_.is_idle());
}

// Guards against stopping a gang whose members finish at different times.
TEST_F(gang_test, finished_members_need_no_beats)
{
    supervisor_.start(make_command(0));
    EXPECT_FALSE(beat(1, member_state::finished));
    for (int second = 0; second < 6; ++second) {
        EXPECT_FALSE(beat(2));
        advance_and_tick(1s);
    }
    EXPECT_FALSE(supervisor_.is_idle());
    tasks_[0].state = task_state::finished;
    advance_and_tick(250ms);
    EXPECT_FALSE(beat(2));
    // The lead still monitors member 2 after its own task has finished.
    advance_and_tick(3s);
    EXPECT_TRUE(beat(2));
}

TEST_F(gang_test, failed_member_stops_the_gang)
{
    supervisor_.start(make_command(0));
    EXPECT_FALSE(beat(1));
    beat(2, member_state::failed);
    EXPECT_TRUE(beat(1));
    advance_and_tick(500ms);
    EXPECT_TRUE(supervisor_.is_idle());
}

TEST_F(gang_test, failed_lead_stops_the_members)
{
    supervisor_.start(make_command(0));
    EXPECT_FALSE(beat(1));
    advance_and_tick(250ms);
    tasks_[0].state = task_state::failed;
    advance_and_tick(250ms);
    EXPECT_TRUE(beat(1));
}

// Guards against a gang that runs in part because its lead never starts.
TEST_F(gang_test, members_stop_when_the_lead_is_not_started)
{
    supervisor_.reserve(make_command(0));
    EXPECT_FALSE(beat(1));
    advance_and_tick(2750ms);
    EXPECT_FALSE(beat(1));
    advance_and_tick(250ms);
    EXPECT_TRUE(beat(1));
    EXPECT_EQ(code_of(supervisor_.start(make_command(0))),
              core::result_code::refused_not_run);
}

// Guards against a member that keeps running without its lead.
TEST_F(gang_test, member_stops_when_the_lead_does_not_answer)
{
    answer_beats(false);
    supervisor_.start(make_command(1));
    for (int second = 0; second < 4; ++second) {
        gang_beat_sender_.send_beats();
        advance_and_tick(1s);
    }
    EXPECT_FALSE(supervisor_.is_idle());
    ON_CALL(*link_, call(_, _, _)).WillByDefault(Return(unreachable()));
    for (int second = 0; second < 2; ++second) {
        gang_beat_sender_.send_beats();
        advance_and_tick(1s);
    }
    advance_and_tick(250ms);
    EXPECT_TRUE(supervisor_.is_idle());
}

TEST_F(gang_test, member_stops_when_the_lead_requests_it)
{
    answer_beats(true);
    supervisor_.start(make_command(1));
    gang_beat_sender_.send_beats();
    advance_and_tick(250ms);
    EXPECT_TRUE(supervisor_.is_idle());
}

// Guards against a lead that treats a finished member as silent because the
// member's last beat was lost.
TEST_F(gang_test, final_beat_is_repeated_until_answered)
{
    answer_beats(false);
    supervisor_.start(make_command(1));
    gang_beat_sender_.send_beats();
    tasks_[0].state = task_state::finished;
    advance_and_tick(250ms);
    auto const is_finished = testing::Truly(
        [](core::json const& body) { return body.at("state") == "finished"; });
    EXPECT_CALL(*link_, call(_, is_finished, _))
        .WillOnce(Return(unreachable()))
        .WillOnce(Return(ok_answer(peers::gang_beat_answer{false})));
    for (int beat = 0; beat < 4; ++beat)
        gang_beat_sender_.send_beats();
}

// Guards against a hanging lead that delays the beats of other gangs.
TEST_F(gang_test, beats_of_several_members_are_sent_concurrently)
{
    ON_CALL(*link_, call(_, _, _))
        .WillByDefault([](auto, auto const&,
                          auto) -> core::result<peers::answer_envelope> {
            std::this_thread::sleep_for(200ms);
            return unreachable();
        });
    supervisor_.start(make_command(1));
    supervisor_.start(make_command(2));
    auto const started_at = std::chrono::steady_clock::now();
    gang_beat_sender_.send_beats();
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 390ms);
}

} // namespace
} // namespace sequoiaroute::workers
