#pragma once

#include "event/timer_service.hpp"
#include "jobs/rules.hpp"
#include "notices/notice_sender.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"
#include "scheduler/announcement_list.hpp"
#include "scheduler/commit_queue.hpp"
#include "scheduler/order_loader.hpp"
#include "scheduler/scheduler_core.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sequoiaroute::scheduler {

/// Takes part in the election of the decider, and decides while it holds the
/// lease. One entry at a time is the decider; the lease row says which.
class decider_service final : private commit_observer
{
public:
    struct options
    {
        std::string node; ///< name of this process
        /// IP:PORT on which this process takes notices; agents take theirs on
        /// the same port.
        std::string address;
        scheduler_limits limits;
    };

    /// How other processes are told at once.
    struct peers
    {
        notices::notice_sender& sender;
        /// Gives the addresses of the other entries.
        std::function<std::vector<std::string>()> entries;
    };

    /// @param store the store
    /// @param timers time
    /// @param work the copy of the table with the jobs; observe() has to be
    ///        called for each of its rows
    /// @param rules the rules in force
    /// @param others how other processes are told
    /// @param advice says which executors may run steps of some queues
    /// @param settings names and limits
    decider_service(rows::row_store& store, event::timer_service& timers,
                    rows::table_replica const& work,
                    std::function<std::shared_ptr<jobs::rules const>()> rules,
                    peers others, advice_service& advice, options settings);
    ~decider_service() override;

    /// Begins to take part in elections.
    void start();

    /// Takes note of a changed row of the work table.
    void observe(rows::row const& changed);

    /// Takes note of a report that an agent sent without the store.
    /// @param text the encoded report
    /// @return whether this process decides
    bool receive_report(std::string const& text);

    /// Tries to become the decider, since the present one cannot reach the
    /// store.
    void take_over();

    /// Asks other entries to take over, if this process is the decider.
    void request_takeover();

    /// Gives the lease up, if it is held, and stops taking part.
    void stop();

    /// @return where the decider takes notices; empty if it is not known
    std::string const& decider_address() const { return seen_lease_.address; }

    bool is_decider() const { return commits_ != nullptr; }

private:
    void on_written(rows::transaction const& written,
                    rows::row_version version) override;
    void on_idle() override;
    void on_lease_lost() override;
    void write(std::vector<job_change> changes);
    void observe_lease(rows::row const& changed);
    void tick();
    bool is_lease_vacant() const;
    void check_lease(bool is_wait_needed);
    void try_acquire();
    void receive_lease(rows::commit_result const& result);
    void become_decider(rows::row_version version);
    void resign(std::string_view reason);
    void observe_report(rows::row const& changed, bool is_from_loading);
    void build_core_if_loaded();
    void add_row(rows::row const& changed);
    void observe_waits(std::vector<job_change> const& changes);
    void decide_soon();
    void decide();
    void ask_advice();
    std::vector<job_change> split_retired(std::vector<job_change> changes);
    void retire(job_change change);
    moment current_moment() const;

    rows::row_store& store_;
    event::timer_service& timers_;
    rows::table_replica const& work_;
    std::function<std::shared_ptr<jobs::rules const>()> rules_;
    peers peers_;
    advice_service& advice_;
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
    std::unique_ptr<order_loader> orders_;
    std::unique_ptr<scheduler_core> core_;
    /// Jobs without an order yet, and since when.
    std::map<std::string, core::time_point> unordered_jobs_;
    announcement_list announcements_;
    bool has_news_ = false;
    bool is_asking_advice_ = false;
    std::int64_t wall_offset_ms_;

    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> decide_timer_;
    std::unique_ptr<event::timer> resign_timer_;
    std::unique_ptr<event::timer> advice_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
