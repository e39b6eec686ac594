#pragma once

#include "core/result.hpp"
#include "event/timer_service.hpp"

#include <memory>

struct event_base;

namespace sequoiaroute::event {

/// The event loop of a process: a single thread that handles sockets, timers
/// and signals. Based on libevent. It must outlive its timers.
class event_loop final : public timer_service
{
public:
    /// @return the loop, or internal_error if libevent cannot create one
    static core::result<std::unique_ptr<event_loop>> create();

    ~event_loop() override;

    core::time_point now() const override;
    std::unique_ptr<timer> after(core::duration delay,
                                 std::function<void()> callback) override;
    std::unique_ptr<timer> every(core::duration period,
                                 std::function<void()> callback) override;

    /// Calls a function whenever the process receives a signal.
    /// @param signal_number such as SIGTERM
    /// @param callback called by the loop, not by the signal handler
    /// @return a handle; destroying it ends the calls
    std::unique_ptr<timer> on_signal(int signal_number,
                                     std::function<void()> callback);

    /// Handles events until stop() is called.
    void run();

    /// Makes run() return after the current callback.
    void stop();

    /// @return the libevent handle, for other classes of this package
    event_base* base() const { return base_; }

private:
    explicit event_loop(event_base* base) : base_(base) {}

    event_base* base_;
};

} // namespace sequoiaroute::event
