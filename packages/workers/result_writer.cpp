#include "workers/result_writer.hpp"

#include "core/log.hpp"

#include <utility>

#include <fmt/format.h>

namespace sequoiaroute::workers {

namespace {

/// Bytes counted for each queued result in addition to its body.
constexpr std::size_t result_overhead_bytes = 256;

} // namespace

std::size_t result_writer::size_of(pending_result const& result)
{
    return result_overhead_bytes + (result.body ? result.body->size() : 0);
}

void result_writer::write_or_enqueue(pending_result result)
{
    if (!write(result))
        enqueue(std::move(result));
}

void result_writer::enqueue(pending_result result)
{
    std::lock_guard const lock(mutex_);
    queued_bytes_ += size_of(result);
    queue_.push_back(std::make_shared<pending_result>(std::move(result)));
}

void result_writer::flush()
{
    std::lock_guard const flush_lock(flush_mutex_);
    for (;;) {
        std::shared_ptr<pending_result> next;
        {
            std::lock_guard const lock(mutex_);
            if (queue_.empty())
                return;
            next = queue_.front();
        }
        auto const size = size_of(*next);
        if (!write(*next)) {
            // If the body was stored and only the write of the row failed, the
            // body no longer counts.
            queued_bytes_ -= size - size_of(*next);
            return;
        }
        std::lock_guard const lock(mutex_);
        queued_bytes_ -= size;
        queue_.pop_front();
    }
}

bool result_writer::write(pending_result& result)
{
    if (result.body) {
        auto const key =
            fmt::format("results/requests/{}/{}", result.attempt.customer,
                        result.attempt.request_id);
        if (!is_ok(store_.put(key, *result.body)))
            return false;
        result.body.reset();
    }
    auto const outcome = write_row(result);
    if (code_of(outcome) != core::result_code::conflict)
        return is_ok(outcome);
    core::log(core::log_level::error,
              "the row of a finished request belongs to another attempt",
              {{"customer", result.attempt.customer},
               {"request", result.attempt.request_id}});
    return true;
}

core::status result_writer::write_row(pending_result const& result)
{
    if (result.was_refused)
        return permits_.revert_to_claimed(result.attempt);
    if (result.outcome)
        return permits_.record_outcome(result.attempt, *result.outcome);
    return core::success();
}

std::size_t result_writer::pending() const
{
    std::lock_guard const lock(mutex_);
    return queue_.size();
}

core::json result_writer::dump() const
{
    return {{"pending", pending()}, {"bytes", queued_bytes_.load()}};
}

} // namespace sequoiaroute::workers
