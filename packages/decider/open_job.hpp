#pragma once

#include "core/clock.hpp"
#include "decider/job_store.hpp"
#include "peers/messages.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoiaroute::decider {

/// The state of one member of the current attempt in the decider's memory.
struct member_progress
{
    bool is_reserved = false;  ///< the agent confirmed the reservation
    bool is_started = false;   ///< the agent confirmed the start
    bool is_restarted = false; ///< the agent has a new incarnation
    bool is_stop_sent = false; ///< the grace period is granted only once
    bool has_ended = false;
    peers::member_state end_state = peers::member_state::stopped; ///< if ended
    std::string output;     ///< of a finished member
    std::string checkpoint; ///< the latest one as reported, empty if none
    std::string detail;     ///< why the member ended, for people
    core::time_point next_send_at; ///< earliest next start or stop command
};

/// The longest time that an evicted task gets to write its checkpoint.
constexpr core::duration eviction_grace_limit = std::chrono::seconds(5);

/// The state of an open job in the decider's memory: its row as last read or
/// written, and what is not stored in the row.
struct job_data
{
    policy::job_record record;
    platform::row row;
    /// The term in which this decider read the job. Commands carry it, so that
    /// agents refuse a command that is sent after the lease was lost.
    std::uint64_t term = 0;
    bool is_row_stale = false; ///< must be read before the next step
    /// The version that the row has at least; a read that returns an older one
    /// is stale.
    std::uint64_t min_version = 0;
    bool is_recovered = false; ///< another decider began the attempt
    std::optional<job_write> pending_write; ///< under way or outcome unknown
    std::vector<member_progress> members;   ///< same indexes as record.placed
    /// The placement chosen by the policy, until it is written to the row.
    std::vector<policy::placed_member> planned;
    bool is_planned_borrowing = false; ///< planned exceeds the guarantee
    std::optional<std::string> eviction_reason; ///< set if to be evicted
    core::duration eviction_grace = eviction_grace_limit;
    /// When the first eviction on behalf of this job was decided; unset once
    /// the job is reserved.
    std::optional<core::time_point> reclaim_started_at;
    std::optional<std::string> rejection_reason; ///< set if to be rejected
    core::time_point submitted_at;    ///< estimated from the wall clock
    core::time_point reserved_at;     ///< when the row became reserving
    core::time_point started_at;      ///< commit of the attempt, or recovery
    core::time_point result_retry_at; ///< earliest next try to store the result
};

/// A job that is not final, shared between threads. A thread that takes a step
/// of the job holds the operation mutex for its duration, including calls to
/// other processes. A second mutex, held only briefly, guards the data.
class open_job
{
public:
    explicit open_job(job_data data) : data_(std::move(data)) {}

    /// @return the mutex that serialises the steps of the job
    std::mutex& operation_mutex() { return operation_mutex_; }

    /// @return a copy of the data
    job_data snapshot() const
    {
        std::lock_guard const lock(mutex_);
        return data_;
    }

    /// Calls a function with the data while the data mutex is held. The
    /// function must not block or call this object.
    /// @return what the function returns
    template <class Function>
    auto with(Function&& function)
    {
        std::lock_guard const lock(mutex_);
        return std::forward<Function>(function)(data_);
    }

    /// Marks the job as having a step posted to a task runner.
    /// @return false if it was already marked
    bool mark_posted() { return !is_posted_.exchange(true); }
    /// Clears the mark when the posted step begins to run.
    void clear_posted() { is_posted_ = false; }

private:
    std::mutex operation_mutex_;
    mutable std::mutex mutex_;
    job_data data_;
    std::atomic<bool> is_posted_{false};
};

} // namespace sequoiaroute::decider
