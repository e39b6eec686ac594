#include "soak/test_system.hpp"

#include "event/event_loop.hpp"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace sequoiaroute::soak {

namespace {

using namespace std::chrono_literals;

/// The state of a stopped process in /proc/PID/stat.
constexpr char stopped_state = 'T';
constexpr auto state_change_limit = 5s;
constexpr auto poll_period = 1ms;

/// A test system whose programs only wait.
class test_system_test : public testing::Test
{
protected:
    void SetUp() override
    {
        auto name =
            (std::filesystem::temp_directory_path() / "soak-test-XXXXXX")
                .string();
        ASSERT_NE(::mkdtemp(name.data()), nullptr);
        directory_ = name;
        write_program("sequoiaroute");
        write_program("sequoiaroute-agent");
        loop_ = core::value(event::event_loop::create());
        auto created = test_system::create(
            *loop_, random_, directory_, directory_,
            {1, 1, core::duration(2000), core::duration(300)});
        ASSERT_TRUE(core::is_ok(created));
        system_ = core::value(std::move(created));
    }

    void TearDown() override
    {
        system_.reset();
        std::filesystem::remove_all(directory_);
    }

    void write_program(std::string const& name)
    {
        auto const path = directory_ / "packages/programs" / name;
        std::filesystem::create_directories(path.parent_path());
        std::ofstream(path) << "#!/bin/sh\nexec sleep 60\n";
        std::filesystem::permissions(path, std::filesystem::perms::owner_all);
    }

    system_process& agent() { return system_->agents().front(); }

    bool is_stopped()
    {
        auto const process_id =
            system_->processes().running_process_id(agent().name);
        std::ifstream file(fmt::format("/proc/{}/stat", process_id));
        std::string number;
        std::string name;
        char state = 0;
        file >> number >> name >> state;
        return state == stopped_state;
    }

    /// @return whether the agent is stopped, or not, within some seconds
    bool becomes_stopped(bool expected)
    {
        auto const limit =
            std::chrono::steady_clock::now() + state_change_limit;
        while (is_stopped() != expected) {
            if (std::chrono::steady_clock::now() > limit)
                return false;
            std::this_thread::sleep_for(poll_period);
        }
        return true;
    }

    std::filesystem::path directory_;
    std::unique_ptr<event::event_loop> loop_;
    random_source random_{1};
    std::unique_ptr<test_system> system_;
};

} // namespace

// Guards against a limiter that wakes a process which a fault has frozen.
TEST_F(test_system_test, keeps_a_frozen_process_stopped_when_its_turn_begins)
{
    system_->freeze(agent());
    system_->set_waiting_for_turn(agent(), true);
    system_->set_waiting_for_turn(agent(), false);
    EXPECT_TRUE(is_stopped());
    system_->thaw(agent());
    EXPECT_TRUE(becomes_stopped(false));
}

// Guards against faults whose end gives a process more than its share, and
// against a wait for the stop of a process that is already stopped.
TEST_F(test_system_test, keeps_a_process_stopped_until_its_turn_after_a_fault)
{
    system_->set_waiting_for_turn(agent(), true);
    ASSERT_TRUE(becomes_stopped(true));
    system_->freeze(agent());
    system_->thaw(agent());
    EXPECT_TRUE(is_stopped());
    system_->set_waiting_for_turn(agent(), false);
    EXPECT_TRUE(becomes_stopped(false));
}

// Guards against a graceful stop that gets lost between two turns.
TEST_F(test_system_test, terminates_a_process_that_waits_for_its_turn)
{
    system_->set_waiting_for_turn(agent(), true);
    ASSERT_TRUE(becomes_stopped(true));
    system_->terminate(agent());
    system_->set_waiting_for_turn(agent(), false);
    auto const limit = std::chrono::steady_clock::now() + state_change_limit;
    while (agent().is_running && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(poll_period);
        system_->tick();
    }
    EXPECT_FALSE(agent().is_running);
}

// Guards against a restarted process that starts stopped, or is taken for it.
TEST_F(test_system_test, starts_a_process_anew_within_its_turn)
{
    system_->set_waiting_for_turn(agent(), true);
    system_->kill(agent());
    system_->set_waiting_for_turn(agent(), false);
    system_->start(agent());
    EXPECT_FALSE(is_stopped());
    system_->set_waiting_for_turn(agent(), true);
    EXPECT_TRUE(becomes_stopped(true));
}

} // namespace sequoiaroute::soak
