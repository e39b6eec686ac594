#pragma once

#include "event/timer_service.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace sequoiaroute::support {

/// Timers that fire only when a test advances the time.
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

    /// Moves the time on and fires the timers that fall due, in order.
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
    struct entry
    {
        core::duration period;
        std::function<void()> call;
    };
    using key = std::pair<core::time_point, std::uint64_t>;

    class owner final : public event::timer
    {
    public:
        owner(manual_timers& timers, std::uint64_t id)
            : timers_(timers), id_(id)
        {
        }
        ~owner() override { timers_.remove(id_); }

    private:
        manual_timers& timers_;
        std::uint64_t id_;
    };

    std::unique_ptr<event::timer>
    add(core::duration delay, core::duration period, std::function<void()> call)
    {
        auto const id = ++last_id_;
        pending_.emplace(key(now_ + delay, id), entry{period, std::move(call)});
        return std::make_unique<owner>(*this, id);
    }

    void remove(std::uint64_t id)
    {
        std::erase_if(pending_, [&](auto const& item) {
            return item.first.second == id;
        });
    }

    core::time_point now_{core::duration(1'000'000)};
    std::uint64_t last_id_ = 0;
    std::map<key, entry> pending_;
};

} // namespace sequoiaroute::support
