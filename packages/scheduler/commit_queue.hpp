#pragma once

#include "event/timer_service.hpp"
#include "rows/latency_estimator.hpp"
#include "rows/row_store.hpp"
#include "scheduler/open_job.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::scheduler {

/// What the lease row says.
struct lease_record
{
    std::string holder; ///< empty if it was given up
    /// IP:PORT on which the holder takes notices.
    std::string address;
    std::int64_t term = 0;
    std::int64_t renewals = 0;

    bool operator==(lease_record const&) const = default;
};

std::string encode(lease_record const& record);

/// @return the record; one without a holder if the text is not valid
lease_record decode_lease(std::string_view text);

/// Recognises that an earlier sending took effect although its answer was lost.
/// @param conflict what the store answered to the next one
/// @param encoded the lease as it was sent
/// @return the version of the lease row if it holds that lease
std::optional<rows::row_version> find_lease(rows::commit_result const& conflict,
                                            std::string_view encoded);

/// Learns how the decider's changes are written.
class commit_observer
{
public:
    virtual ~commit_observer() = default;

    /// A transaction took effect.
    virtual void on_written(rows::transaction const& written,
                            rows::row_version version) = 0;

    /// All changes are written.
    virtual void on_idle() = 0;

    /// Another process holds the lease.
    virtual void on_lease_lost() = 0;
};

/// Writes the decider's changes, one transaction at a time.
///
/// Every transaction requires the version of the lease row that the last one
/// wrote, and writes the lease row itself. So each one renews the lease, all
/// fail once another process has taken the lease over, and one whose answer
/// was lost can be sent again: it cannot take effect twice, and none can take
/// effect late.
class commit_queue
{
public:
    /// @param store where to write
    /// @param timers drives retries
    /// @param lease what the lease row says
    /// @param version the version of the lease row
    /// @param observer learns how the writing goes
    commit_queue(rows::row_store& store, event::timer_service& timers,
                 lease_record lease, rows::row_version version,
                 commit_observer& observer);

    /// Adds changes of jobs.
    void push(std::span<job_change const> changes);

    /// Writes only the lease row, if nothing is being written.
    void renew();

    /// Gives the lease up once all changes are written.
    void release();

    bool is_idle() const { return !in_flight_ && waiting_.empty(); }

    core::time_point last_written_at() const { return last_written_at_; }

    /// @return the recent time that a transaction took
    core::duration typical_time() const
    {
        return store_latency_.typical_latency();
    }

private:
    struct batch
    {
        std::vector<rows::row_write> writes;
        std::vector<rows::row_key> removals;
    };

    void append(job_change const& change);
    void send_next();
    void send();
    void receive(rows::commit_result const& result);
    void resend_later();
    void finish(rows::row_version version);

    rows::row_store& store_;
    event::timer_service& timers_;
    lease_record lease_;
    rows::row_version version_;
    commit_observer& observer_;
    std::deque<batch> waiting_;
    rows::transaction current_;
    std::string current_lease_;
    bool in_flight_ = false;
    rows::latency_estimator store_latency_;
    core::time_point sent_at_{};
    bool is_releasing_ = false;
    core::time_point last_written_at_;
    std::unique_ptr<event::timer> retry_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
