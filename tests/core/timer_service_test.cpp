#include "core/timer_service.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

namespace sequoiaroute::core {
namespace {

// Guards against a callback that runs after its owner has unsubscribed, which
// would use freed memory.
TEST(timer_service, runs_no_callback_after_unsubscription)
{
    timer_service timers;
    std::atomic<int> calls{0};
    std::promise<void> third_call;
    auto subscription = timers.subscribe(duration(1), [&] {
        if (++calls == 3)
            third_call.set_value();
    });
    third_call.get_future().wait();
    subscription.reset();
    auto const calls_when_unsubscribed = calls.load();
    std::promise<void> other_called;
    auto other_subscription =
        timers.subscribe(duration(20), [&, done = false]() mutable {
            if (!std::exchange(done, true))
                other_called.set_value();
        });
    other_called.get_future().wait();
    EXPECT_EQ(calls.load(), calls_when_unsubscribed);
}

// Guards against an unsubscription that never returns: a callback that takes
// longer than its period is always due again.
TEST(timer_service, unsubscribes_a_callback_that_is_always_due)
{
    timer_service timers(1);
    std::promise<void> first_call;
    auto subscription =
        timers.subscribe(duration(1), [&, done = false]() mutable {
            std::this_thread::sleep_for(duration(5));
            if (!std::exchange(done, true))
                first_call.set_value();
        });
    first_call.get_future().wait();
    auto unsubscribed =
        std::async(std::launch::async, [&] { subscription.reset(); });
    EXPECT_EQ(unsubscribed.wait_for(std::chrono::seconds(10)),
              std::future_status::ready);
}

} // namespace
} // namespace sequoiaroute::core
