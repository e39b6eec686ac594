#pragma once

#include "core/codec.hpp"
#include "platform/object_store.hpp"
#include "workers/start_permits.hpp"

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sequoiaroute::workers {

/// What remains to be written for one request.
struct pending_result
{
    request_attempt attempt;
    /// Body of the answer; absent if there is none or it is already stored.
    std::optional<std::string> body;
    /// Outcome for the row; set for unrepeatable requests only.
    std::optional<permit_outcome> outcome;
    /// The executor refused the attempt, so the row returns to claimed.
    bool was_refused = false;
};

/// Writes results to the object store, and then the outcome of unrepeatable
/// requests to the table. Results that cannot be written are queued in memory
/// and retried in order. Thread-safe.
class result_writer
{
public:
    /// @param store where the bodies are written
    /// @param permits where the outcomes are written
    /// @param limit_bytes size of the queued results from which has_capacity()
    ///        is false
    result_writer(platform::object_store& store, start_permits& permits,
                  std::size_t limit_bytes)
        : store_(store), permits_(permits), limit_bytes_(limit_bytes)
    {
    }

    /// Writes a result immediately, or queues it if that fails.
    /// @param result the result
    void write_or_enqueue(pending_result result);

    /// Queues a result for the next flush().
    /// @param result the result
    void enqueue(pending_result result);

    /// Writes queued results in order until one fails or none is left.
    void flush();

    /// @return true if another result may be accepted: the queued results are
    ///         smaller than the limit
    bool has_capacity() const { return queued_bytes_ < limit_bytes_; }

    /// @return the number of queued results
    std::size_t pending() const;

    /// @return the number and the size in bytes of the queued results
    core::json dump() const;

private:
    /// Writes a result. Resets the body once it is stored, so that a retry only
    /// writes the row.
    /// @return false if the write must be retried
    bool write(pending_result& result);
    core::status write_row(pending_result const& result);
    static std::size_t size_of(pending_result const& result);

    platform::object_store& store_;
    start_permits& permits_;
    std::size_t limit_bytes_;
    std::atomic<std::size_t> queued_bytes_ = 0;
    mutable std::mutex mutex_; ///< guards queue_
    std::deque<std::shared_ptr<pending_result>> queue_;
    std::mutex flush_mutex_; ///< one flush at a time
};

} // namespace sequoiaroute::workers
