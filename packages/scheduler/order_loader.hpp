#pragma once

#include "event/timer_service.hpp"
#include "jobs/worker_report.hpp"
#include "rows/row_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Reads the stored orders of all tables once, when a process has become the
/// decider. Logs and skips rows that it cannot decode; retries failed reads.
class order_loader
{
public:
    /// @param store the store to read from
    /// @param timers drives retries
    /// @param min_version least version of the store that a page must show. The
    ///        store may return older pages after it has dropped its history;
    ///        they are read again.
    /// @param on_loaded called once when all tables have been read
    order_loader(rows::row_store& store, event::timer_service& timers,
                 rows::row_version min_version,
                 std::function<void()> on_loaded);

    /// Begins to read all tables.
    void start();

    /// @return whether all tables have been read
    bool is_loaded() const;

    /// Moves the orders out.
    /// @return the orders read since the last call
    std::vector<jobs::run_order> take_orders();

private:
    void load_page(std::size_t table, std::string const& from);
    void receive_page(std::size_t table, std::string const& from,
                      rows::page const& page);

    rows::row_store& store_;
    event::timer_service& timers_;
    rows::row_version min_version_;
    std::function<void()> on_loaded_;
    std::vector<jobs::run_order> orders_;
    std::size_t loaded_tables_ = 0;
    /// By number of the table.
    std::map<std::size_t, std::unique_ptr<event::timer>> retry_timers_;
    /// Lets callbacks of the store detect that this object is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
