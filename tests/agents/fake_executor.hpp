#pragma once

#include "agents/executor_runtime.hpp"
#include "support/manual_timers.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sequoiaroute::agents {

/// An executor that starts every ordered run and keeps it running until the
/// test ends it.
class fake_executor final : public executor_runtime
{
public:
    explicit fake_executor(support::manual_timers& timers) : timers_(timers) {}

    void start(jobs::run_order const& order, std::int64_t lease_until_ms,
               std::function<void(order_reply)> done) override
    {
        running[order.run] = order;
        lease_end_ms = lease_until_ms;
        reply(std::move(done));
    }

    void stop(jobs::run_order const& order,
              std::function<void(order_reply)> done) override
    {
        if (is_stop_busy)
            return reply(std::move(done), order_outcome::busy);
        if (running.contains(order.run))
            end(order.run, jobs::run_end::stopped);
        reply(std::move(done));
    }

    void throttle(jobs::run_id const& run, std::int32_t percent,
                  std::function<void(bool)> done) override
    {
        shares[run] = percent;
        done(true);
    }

    void poll(std::int64_t acknowledged,
              std::optional<std::int64_t> lease_until_ms, core::duration wait,
              std::function<void(executor_snapshot)> done) override
    {
        if (is_silent) {
            if (lease_until_ms)
                lease_end_ms = std::max(lease_end_ms, *lease_until_ms);
            pending_.push_back(
                timers_.after(wait + core::duration(700),
                              [done = std::move(done)] { done({}); }));
            return;
        }
        if (is_refusing) {
            executor_snapshot refusal;
            refusal.is_connection_refused = true;
            pending_.push_back(
                timers_.after(core::duration(1), [done = std::move(done),
                                                  refusal] { done(refusal); }));
            return;
        }
        highest_acknowledged = std::max(highest_acknowledged, acknowledged);
        if (lease_until_ms)
            lease_end_ms = std::max(lease_end_ms, *lease_until_ms);
        std::erase_if(ended, [&](auto const& item) {
            return item.number <= acknowledged;
        });
        executor_snapshot snapshot;
        snapshot.is_ok = true;
        snapshot.born_ms = born_ms;
        snapshot.clock_ms = clock_ms();
        snapshot.ended = ended;
        for (auto const& [run, order] : running)
            snapshot.running.push_back({run, "", 50, 100, response_time});
        pending_.push_back(
            timers_.after(answer_delay, [done = std::move(done), snapshot] {
                done(snapshot);
            }));
    }

    void end(jobs::run_id const& run, jobs::run_end how)
    {
        running.erase(run);
        ended.push_back({++last_number_, {run, how, ""}});
    }

    std::int64_t clock_ms() const
    {
        return timers_.now().time_since_epoch().count() + clock_offset_ms;
    }

    std::map<jobs::run_id, jobs::run_order> running;
    std::vector<unacknowledged_end> ended;
    bool is_refusing = false;  ///< connections are refused
    bool is_silent = false;    ///< polls get no answer
    bool is_stop_busy = false; ///< stops are answered as busy
    std::int64_t clock_offset_ms = 0;
    std::int64_t born_ms = 1;
    core::duration answer_delay{5}; ///< until a poll is answered
    std::map<jobs::run_id, std::int32_t> shares;
    core::duration response_time{0};
    std::int64_t lease_end_ms = 0;
    std::int64_t highest_acknowledged = 0;

private:
    void reply(std::function<void(order_reply)> done,
               order_outcome outcome = order_outcome::done)
    {
        pending_.push_back(
            timers_.after(core::duration(1), [done = std::move(done),
                                              clock = clock_ms(), outcome] {
                done({outcome, clock, ""});
            }));
    }

    support::manual_timers& timers_;
    std::int64_t last_number_ = 0;
    std::vector<std::unique_ptr<event::timer>> pending_;
};

} // namespace sequoiaroute::agents
