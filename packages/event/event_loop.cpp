#include "event/event_loop.hpp"

#include "event/timeval.hpp"

#include <event2/event.h>

#include <utility>

namespace sequoiaroute::event {

namespace {

/// A libevent timer or signal event that calls a function object.
class event_timer final : public timer
{
public:
    event_timer(event_base* base, int descriptor, short flags,
                std::function<void()> callback)
        : callback_(std::move(callback)),
          event_(event_new(base, descriptor, flags, &event_timer::fire, this))
    {
    }
    ~event_timer() override { event_free(event_); }

    void add(timeval const* time) { event_add(event_, time); }

private:
    static void fire(evutil_socket_t, short, void* self)
    {
        // Calls a copy, since the callback may destroy this timer.
        auto const callback = static_cast<event_timer*>(self)->callback_;
        callback();
    }

    std::function<void()> callback_;
    struct event* event_;
};

} // namespace

core::result<std::unique_ptr<event_loop>> event_loop::create()
{
    auto* const base = event_base_new();
    if (base == nullptr) {
        return core::error{core::result_code::internal_error,
                           "cannot create an event loop"};
    }
    return std::unique_ptr<event_loop>(new event_loop(base));
}

event_loop::~event_loop()
{
    event_base_free(base_);
}

core::time_point event_loop::now() const
{
    return core::system_clock{}.now();
}

std::unique_ptr<timer> event_loop::after(core::duration delay,
                                         std::function<void()> callback)
{
    auto result =
        std::make_unique<event_timer>(base_, -1, 0, std::move(callback));
    auto const time = to_timeval(delay);
    result->add(&time);
    return result;
}

std::unique_ptr<timer> event_loop::every(core::duration period,
                                         std::function<void()> callback)
{
    auto result = std::make_unique<event_timer>(base_, -1, EV_PERSIST,
                                                std::move(callback));
    auto const time = to_timeval(period);
    result->add(&time);
    return result;
}

std::unique_ptr<timer> event_loop::on_signal(int signal_number,
                                             std::function<void()> callback)
{
    auto result = std::make_unique<event_timer>(
        base_, signal_number, EV_SIGNAL | EV_PERSIST, std::move(callback));
    result->add(nullptr);
    return result;
}

void event_loop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(base_);
}

} // namespace sequoiaroute::event
