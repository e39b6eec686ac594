#pragma once

#include "event/timer_service.hpp"
#include "jobs/rules.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"
#include "scheduler/commit_queue.hpp"
#include "scheduler/scheduler_core.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sequoiaroute::scheduler {

/// Takes part in the election of the decider, and decides while it holds the
/// lease. One entry at a time is the decider; the lease row says which.
class decider_service
{
public:
    struct options
    {
        std::string node; ///< name of this process
        scheduler_limits limits;
    };

    /// @param store the store
    /// @param timers time
    /// @param work the copy of the table with the jobs; observe() has to be
    ///        called for each of its rows
    /// @param rules the rules in force
    /// @param settings names and limits
    decider_service(rows::row_store& store, event::timer_service& timers,
                    rows::table_replica const& work,
                    std::function<std::shared_ptr<jobs::rules const>()> rules,
                    options settings);
    ~decider_service();

    /// Begins to take part in elections.
    void start();

    /// Takes note of a changed row of the work table.
    void observe(rows::row const& changed);

    /// Gives the lease up, if it is held, and stops taking part.
    void stop();

    bool is_decider() const { return commits_ != nullptr; }

private:
    void observe_lease(rows::row const& changed);
    void tick();
    bool is_lease_vacant() const;
    void check_lease();
    void try_acquire();
    void receive_lease(rows::commit_result const& result);
    void become_decider(rows::row_version version);
    void resign(std::string_view reason);
    void load_orders(std::size_t table, std::string const& from);
    void receive_report(rows::row const& changed, bool is_from_loading);
    void build_core_if_loaded();
    void add_row(rows::row const& changed);
    void observe_waits(std::vector<job_change> const& changes);
    void decide_soon();
    void decide();
    std::vector<job_change> split_retired(std::vector<job_change> changes);
    void retire(job_change change);
    moment current_moment() const;

    rows::row_store& store_;
    event::timer_service& timers_;
    rows::table_replica const& work_;
    std::function<std::shared_ptr<jobs::rules const>()> rules_;
    options options_;

    lease_record seen_lease_;
    rows::row_version seen_version_ = rows::no_row;
    core::time_point lease_changed_at_{};
    std::optional<lease_record> wanted_;
    rows::row_version wanted_over_ = rows::no_row;
    std::string previous_holder_; ///< of the lease that is wanted
    bool is_acquiring_ = false;
    bool is_checking_ = false;
    bool is_stopped_ = false;

    // State while this process holds the lease.
    std::unique_ptr<commit_queue> commits_;
    rows::row_version acquired_version_ = rows::no_row;
    std::unique_ptr<rows::table_replica> reports_;
    std::vector<jobs::run_order> loaded_orders_;
    std::size_t loaded_tables_ = 0;
    std::unique_ptr<scheduler_core> core_;
    /// Jobs without an order yet, and since when.
    std::map<std::string, core::time_point> unordered_jobs_;
    bool has_news_ = false;
    std::int64_t wall_offset_ms_;

    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> decide_timer_;
    std::map<std::size_t, std::unique_ptr<event::timer>> load_timers_;
    std::unique_ptr<event::timer> resign_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
