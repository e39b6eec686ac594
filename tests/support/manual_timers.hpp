#pragma once

#include "event/timer_service.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace sequoiaroute::support {

/// Timers that only fire when a test advances the time.
class manual_timers final : public event::timer_service
{
public:
    core::time_point now() const override { return now_; }

    std::unique_ptr<event::timer> after(core::duration delay,
                                        std::function<void()> call) override
    {
        return add(delay, core::duration(0), std::move(call));
    }

    std::unique_ptr<event::timer> every(core::duration period,
                                        std::function<void()> call) override
    {
        return add(period, period, std::move(call));
    }

    /// Advances the time and fires the timers that become due, in order.
    void advance(core::duration step)
    {
        auto const end = now_ + step;
        while (!pending_.empty() && pending_.begin()->first.first <= end) {
            auto const next = pending_.begin();
            now_ = std::max(now_, next->first.first);
            auto const due = next->second;
            auto const id = next->first.second;
            pending_.erase(next);
            if (due.period > core::duration(0))
                pending_.emplace(std::pair(now_ + due.period, id), due);
            due.call();
        }
        now_ = end;
    }

private:
    struct pending_timer
    {
        core::duration period; ///< 0 for a timer that fires once
        std::function<void()> call;
    };
    /// When the timer is due, and its id.
    using timer_key = std::pair<core::time_point, std::uint64_t>;

    /// Removes its timer when it is destroyed.
    class timer_handle final : public event::timer
    {
    public:
        timer_handle(manual_timers& timers, std::uint64_t id)
            : timers_(timers), id_(id)
        {
        }
        ~timer_handle() override { timers_.remove(id_); }

    private:
        manual_timers& timers_;
        std::uint64_t id_;
    };

    std::unique_ptr<event::timer>
    add(core::duration delay, core::duration period, std::function<void()> call)
    {
        auto const id = ++last_id_;
        pending_.emplace(timer_key(now_ + delay, id),
                         pending_timer{period, std::move(call)});
        return std::make_unique<timer_handle>(*this, id);
    }

    void remove(std::uint64_t id)
    {
        std::erase_if(pending_, [&](auto const& item) {
            return item.first.second == id;
        });
    }

    core::time_point now_{core::duration(1'000'000)};
    std::uint64_t last_id_ = 0;
    std::map<timer_key, pending_timer> pending_;
};

} // namespace sequoiaroute::support
