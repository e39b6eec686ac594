#pragma once

#include "event/timer_service.hpp"
#include "rows/latency_estimator.hpp"
#include "rows/row_store.hpp"
#include "scheduler/open_job.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::scheduler {

/// The content of the lease row. The holder of the lease is the decider.
struct lease_record
{
    /// Name of the process that holds the lease; empty if it was released.
    std::string holder;
    /// IP:PORT on which the holder receives notices.
    std::string address;
    std::int64_t term = 0;     ///< rises with each acquisition
    std::int64_t renewals = 0; ///< in this term; makes each written row differ

    bool operator==(lease_record const&) const = default;
};

/// @return the record as JSON, as stored in the lease row
std::string encode(lease_record const& record);

/// @return the record, or bad_request if the text is not that of a lease row
core::result<lease_record> decode_lease(std::string_view text);

/// Checks after a conflict whether an earlier attempt of the same transaction
/// was committed although its answer was lost.
/// @param conflict the store's answer to the retry
/// @param encoded the lease that the transaction writes
/// @return the version of the lease row if it has this value, else nullopt
std::optional<rows::row_version>
find_own_lease(rows::commit_result const& conflict, std::string_view encoded);

/// Receives the events of a commit_queue.
class commit_observer
{
public:
    virtual ~commit_observer() = default;

    /// A transaction was committed.
    /// @param version the version of all rows that it wrote
    virtual void on_committed(rows::transaction const& written,
                              rows::row_version version) = 0;

    /// All changes are stored.
    virtual void on_idle() = 0;

    /// Another process has acquired the lease, so nothing more can be written.
    /// Must not destroy the queue, which is the caller.
    virtual void on_lease_lost() = 0;
};

/// Writes the decider's changes to the store, one transaction at a time.
///
/// The lease row serves as a fencing token: every transaction requires the
/// version of it that the previous one wrote, and writes it anew. So each
/// transaction renews the lease, and all fail once another process has acquired
/// it. A transaction without an answer can be retried safely: it takes effect
/// at most once, and never after a later one.
class commit_queue
{
public:
    /// @param store the store to write to
    /// @param timers drives retries
    /// @param lease the content of the lease row, held by this process
    /// @param version the version of the lease row
    /// @param observer receives the events; must outlive the queue
    commit_queue(rows::row_store& store, event::timer_service& timers,
                 lease_record lease, rows::row_version version,
                 commit_observer& observer);

    /// Queues changes of jobs and begins to write them. A change is written in
    /// one transaction, which several changes share if they fit.
    void push(std::span<job_change const> changes);

    /// Queues the write of a single row.
    void put(rows::row_key key, std::string value);

    /// Renews the lease by writing only its row. Does nothing during a write,
    /// which renews the lease as well.
    void renew();

    /// Releases the lease once all changes are stored.
    void release();

    /// @return whether all changes are stored
    bool is_idle() const { return !in_flight_ && pending_.empty(); }

    /// @return when the last commit was confirmed; before the first one, when
    ///         the queue was created
    core::time_point last_commit_at() const { return last_commit_at_; }

    /// @return an estimate of how long a commit takes, from recent ones
    core::duration typical_commit_time() const
    {
        return store_latency_.typical_latency();
    }

private:
    /// The rows of one transaction, without the lease.
    struct batch
    {
        std::map<rows::row_key, std::string> writes; ///< values by row
        std::set<rows::row_key> removals;

        std::size_t bytes() const; ///< of all values
        bool fits(batch const& other) const;
        /// Adds later changes.
        void merge(batch other);
    };

    static batch make_batch(job_change const& change);
    void append(batch rows);
    void send_next();
    void send();
    void handle_result(rows::commit_result const& result);
    void schedule_retry();
    void complete(rows::row_version version);

    rows::row_store& store_;
    event::timer_service& timers_;
    lease_record lease_;
    rows::row_version version_; ///< of the lease row
    commit_observer& observer_;
    std::deque<batch> pending_;
    rows::transaction transaction_; ///< in flight, or the last one
    std::string sent_lease_;        ///< encoded, as transaction_ writes it
    bool in_flight_ = false;
    rows::latency_estimator store_latency_;
    core::time_point sent_at_{};
    bool is_releasing_ = false;
    core::time_point last_commit_at_;
    std::unique_ptr<event::timer> retry_timer_;
    /// Lets callbacks of the store detect that this object is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
