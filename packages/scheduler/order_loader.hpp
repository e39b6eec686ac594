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

/// Reads the orders of all tables once, for a process that has become the
/// decider.
class order_loader
{
public:
    /// @param store the store
    /// @param timers time
    /// @param oldest version that a page has to have; after the store has
    ///        dropped its history, readings may be old
    /// @param when_loaded is called once all tables are read
    order_loader(rows::row_store& store, event::timer_service& timers,
                 rows::row_version oldest, std::function<void()> when_loaded);

    void start();

    bool is_loaded() const;

    /// @return the orders read so far, which are forgotten
    std::vector<jobs::run_order> take();

private:
    void load(std::size_t table, std::string const& from);
    void receive(std::size_t table, std::string const& from,
                 rows::page const& page);

    rows::row_store& store_;
    event::timer_service& timers_;
    rows::row_version oldest_;
    std::function<void()> when_loaded_;
    std::vector<jobs::run_order> orders_;
    std::size_t loaded_tables_ = 0;
    std::map<std::size_t, std::unique_ptr<event::timer>> retries_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
