#pragma once

#include "agents/agent_service.hpp"
#include "agents/fake_executor.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "support/memory_row_store.hpp"
#include "support/recording_notice_sender.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace sequoiaroute::agents {

/// An agent beside a store and an executor in memory.
class agent_service_test : public testing::Test
{
public:
    agent_service_test() : store(timers), executor(timers) { replace_agent(); }

    /// Destroys the agent, if there is one, and creates another one, which has
    /// not been started.
    void replace_agent()
    {
        agent.emplace(store, timers, executor, notices,
                      agent_service::options{
                          "a", {core::duration(6000), core::duration(1000)}});
    }

    void begin() { begin_with_start_time(1); }

    /// Starts the agent beside an executor that started at a given time.
    void begin_with_start_time(std::int64_t born_ms)
    {
        executor.born_ms = born_ms;
        agent->start();
        heartbeat(jobs::worker_state::ready, born_ms);
        timers.advance(core::duration(200));
    }

    void heartbeat(jobs::worker_state state, std::int64_t born_ms = 1)
    {
        jobs::worker_description worker;
        worker.executor = {"i-1", born_ms};
        worker.service = "s";
        worker.state = state;
        agent->receive_heartbeat(worker, ++sequence);
    }

    /// Sends a heartbeat of another executor at the address of the agent.
    void announce_executor(std::string const& id, std::int64_t born_ms)
    {
        jobs::worker_description worker;
        worker.executor = {id, born_ms};
        worker.service = "s";
        worker.state = jobs::worker_state::ready;
        agent->receive_heartbeat(worker, 1);
    }

    static jobs::run_order make_order(std::int32_t index,
                                      jobs::incarnation executor = {"i-1", 1})
    {
        jobs::run_order order;
        order.agent = "a";
        order.executor = std::move(executor);
        order.run = {{"j", 0, 0, index}, 1};
        order.payload = "p";
        return order;
    }

    /// @return the time of the store's clock
    core::duration store_time() const
    {
        return timers.now().time_since_epoch();
    }

    void put_order(jobs::run_order const& order)
    {
        store.put(rows::layout::order_row("a", to_text(order.run)),
                  jobs::encode(order));
    }

    /// Announces an order as the decider does, ahead of the store.
    void announce_order(jobs::run_order const& order)
    {
        rows::row row{rows::layout::order_row("a", to_text(order.run)),
                      jobs::encode(order), 100, false};
        agent->receive_notice({decider, {row}});
    }

    /// Makes the store unreachable for the agent.
    void cut_store()
    {
        store.next_commits = support::memory_row_store::fault::refused;
        store.reads = support::memory_row_store::fault::refused;
    }

    void restore_store()
    {
        store.next_commits = support::memory_row_store::fault::none;
        store.reads = support::memory_row_store::fault::none;
    }

    /// Replaces the agent by one whose executor grants leases of 10 s.
    void grant_longer_leases()
    {
        agent.emplace(store, timers, executor, notices,
                      agent_service::options{
                          "a", {core::duration(10000), core::duration(400)}});
    }

    /// @return how long after a moment the agent reports the executor as gone;
    ///         a longer time than any lease takes if it does not
    core::duration time_until_gone(core::time_point since)
    {
        while (report().worker.state != jobs::worker_state::gone &&
               timers.now() < since + core::duration(20000))
            timers.advance(core::duration(10));
        EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
        return timers.now() - since;
    }

    /// @return whether the agent has told the decider that the executor ended
    bool has_announced_end()
    {
        auto const& reports = notices.reports[decider];
        return std::any_of(
            reports.begin(), reports.end(), [](auto const& text) {
                auto const decoded = core::value(jobs::decode_report(text));
                return decoded.worker.state == jobs::worker_state::gone;
            });
    }

    jobs::worker_report report() const
    {
        auto const row = store.find(rows::layout::report_row("a"));
        return core::value(jobs::decode_report(row->value));
    }

    /// Of a lease of 10 s, by a clock that is slow by two percent.
    static constexpr core::duration longest_time_to_stop{10'600};
    std::string const decider = "10.0.0.1:7000";
    support::manual_timers timers;
    support::memory_row_store store;
    fake_executor executor;
    support::recording_notice_sender notices;
    std::optional<agent_service> agent;
    std::int64_t sequence = 0;
};

} // namespace sequoiaroute::agents
