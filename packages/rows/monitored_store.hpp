#pragma once

#include "event/timer_service.hpp"
#include "rows/row_store.hpp"
#include "rows/store_reachability.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace sequoiaroute::rows {

/// Passes calls on to the store and watches whether it answers. While it does
/// not, a small reading is tried again and again, so that its return is seen
/// at once.
class monitored_store final : public row_store
{
public:
    /// @param store where calls go
    /// @param timers time
    monitored_store(row_store& store, event::timer_service& timers);

    /// @return whether a call sent now is expected to be answered
    bool is_reachable() const
    {
        return reachability_.is_reachable(timers_.now());
    }

    /// @param callback called whenever the store answers again
    void on_recovery(std::function<void()> callback)
    {
        return_callbacks_.push_back(std::move(callback));
    }

    /// @param callback called whenever the store ceases to answer
    void on_outage(std::function<void()> callback)
    {
        loss_callbacks_.push_back(std::move(callback));
    }

    void commit(transaction changes, core::duration timeout,
                std::function<void(commit_result)> done) override;
    void read(range rows, std::function<void(page)> done) override;
    void list_parts(std::string const& table,
                    std::function<void(part_list)> done) override;
    void follow(std::string const& table, row_version after,
                core::duration wait,
                std::function<void(feed_page)> done) override;

private:
    void finish(store_reachability::call_id call, bool is_answered);
    void check();
    void probe();

    row_store& store_;
    event::timer_service& timers_;
    store_reachability reachability_;
    std::vector<std::function<void()>> return_callbacks_;
    std::vector<std::function<void()>> loss_callbacks_;
    bool was_reachable_ = true;
    bool is_probing_ = false;
    core::time_point probed_at_{};
    core::time_point lost_at_{};
    std::unique_ptr<event::timer> check_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::rows
