#pragma once

#include "event/timer_service.hpp"
#include "rows/row_store.hpp"
#include "rows/store_reachability.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace sequoiaroute::rows {

/// Forwards calls to a store and tracks from their outcomes whether the store
/// is reachable. During an outage it probes the store with a small read at
/// short intervals, so that the recovery is noticed at once.
class monitored_store final : public row_store
{
public:
    /// @param store the store that calls are forwarded to; outlives this object
    /// @param timers the clock, and the timers for probes
    monitored_store(row_store& store, event::timer_service& timers);

    /// @return whether a call that is sent now can be expected to be answered
    bool is_reachable() const
    {
        return reachability_.is_reachable(timers_.now());
    }

    /// @param callback called whenever the store becomes reachable again
    void on_recovery(std::function<void()> callback)
    {
        recovery_callbacks_.push_back(std::move(callback));
    }

    /// @param callback called whenever the store becomes unreachable
    void on_outage(std::function<void()> callback)
    {
        outage_callbacks_.push_back(std::move(callback));
    }

    void commit(transaction changes, core::duration timeout,
                std::function<void(commit_result)> done) override;
    void read(range rows, std::function<void(page)> done) override;
    void list_parts(std::string const& table,
                    std::function<void(part_list)> done) override;
    void poll_feed(std::string const& table, row_version after,
                   core::duration wait,
                   std::function<void(feed_page)> done) override;

private:
    void record_result(store_reachability::call_id call, bool has_succeeded);
    /// Runs the callbacks if reachability has changed, and probes during an
    /// outage.
    void update_reachability();
    void probe();

    row_store& store_;
    event::timer_service& timers_;
    store_reachability reachability_;
    std::vector<std::function<void()>> recovery_callbacks_;
    std::vector<std::function<void()>> outage_callbacks_;
    bool was_reachable_ = true;
    std::size_t pending_probes_ = 0;
    core::time_point last_probe_at_{};
    core::time_point outage_started_at_{};
    std::unique_ptr<event::timer> check_timer_;
    /// Callbacks of the store hold this weakly, to detect that the object no
    /// longer exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::rows
