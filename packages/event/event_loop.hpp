#pragma once

#include "core/result.hpp"
#include "event/timer_service.hpp"

#include <memory>

struct event_base;

namespace sequoiaroute::event {

/// The event loop of a process: one thread that serves sockets, timers and
/// signals. Built on libevent.
class event_loop final : public timer_service
{
public:
    /// @return a loop, or internal_error if the system refuses one
    static core::result<std::unique_ptr<event_loop>> create();

    ~event_loop() override;

    core::time_point now() const override;
    std::unique_ptr<timer> after(core::duration delay,
                                 std::function<void()> callback) override;
    std::unique_ptr<timer> every(core::duration period,
                                 std::function<void()> callback) override;

    /// Calls a function whenever the process receives a signal.
    /// @param signal_number such as SIGTERM
    /// @param callback runs on the loop, not in the signal handler
    /// @return the owner of the subscription
    std::unique_ptr<timer> on_signal(int signal_number,
                                     std::function<void()> callback);

    /// Serves events until stop() is called.
    void run();

    /// Makes run() return after the current callback.
    void stop();

    /// @return the handle for parts of this package
    event_base* base() const { return base_; }

private:
    explicit event_loop(event_base* base) : base_(base) {}

    event_base* base_;
};

} // namespace sequoiaroute::event
