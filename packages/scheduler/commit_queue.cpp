#include "scheduler/commit_queue.hpp"

#include "core/codec.hpp"
#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// The store accepts 100 entries per transaction. Two of them are the condition
/// on the lease row and the write of it.
constexpr std::size_t max_entries_per_transaction = 96;
/// A transaction accepts no more writes once its values have this size.
constexpr std::size_t max_bytes_per_transaction = 600'000;
constexpr core::duration retry_delay{120};

std::size_t value_bytes(std::vector<rows::row_write> const& writes)
{
    std::size_t sum = 0;
    for (auto const& write : writes)
        sum += write.value.size();
    return sum;
}

} // namespace

std::string encode(lease_record const& record)
{
    return core::json{{"holder", record.holder},
                      {"address", record.address},
                      {"term", record.term},
                      {"renewals", record.renewals}}
        .dump();
}

core::result<lease_record> decode_lease(std::string_view text)
{
    return core::decode_json<lease_record>(text, [](core::json const& source) {
        return lease_record{
            source.value("holder", std::string()),
            source.value("address", std::string()),
            source.value("term", std::int64_t{0}),
            source.value("renewals", std::int64_t{0}),
        };
    });
}

std::optional<rows::row_version>
find_own_lease(rows::commit_result const& conflict, std::string_view encoded)
{
    for (auto const& row : conflict.current) {
        if (row.key == rows::layout::lease_row() && row.value == encoded)
            return row.version;
    }
    return std::nullopt;
}

commit_queue::commit_queue(rows::row_store& store, event::timer_service& timers,
                           lease_record lease, rows::row_version version,
                           commit_observer& observer)
    : store_(store), timers_(timers), lease_(std::move(lease)),
      version_(version), observer_(observer), last_commit_at_(timers.now())
{
}

void commit_queue::push(std::span<job_change const> changes)
{
    for (auto const& change : changes)
        append(change);
    if (!in_flight_)
        send_next();
}

void commit_queue::append(job_change const& change)
{
    std::map<rows::row_key, rows::row_write> writes;
    std::vector<rows::row_key> removals;
    for (auto const& order : change.orders) {
        auto key = rows::layout::order_row(order.order.agent,
                                           to_text(order.order.run));
        if (order.action == order_change::action_type::remove) {
            writes.erase(key);
            removals.push_back(std::move(key));
        } else {
            writes[key] = {key, jobs::encode(order.order)};
        }
    }
    if (change.is_retired) {
        removals.push_back(rows::layout::progress_row(change.job_id));
    } else {
        auto key = rows::layout::progress_row(change.job_id);
        writes[key] = {key, jobs::encode(change.progress)};
    }
    auto const is_full = [&](batch const& last_batch) {
        return last_batch.writes.size() + last_batch.removals.size() >=
                   max_entries_per_transaction ||
               value_bytes(last_batch.writes) >= max_bytes_per_transaction;
    };
    // The orders of a gang should take effect together, so a change starts a
    // new transaction if its rows exceed the entries left in the last one.
    auto const size = writes.size() + removals.size();
    if (pending_.empty() ||
        pending_.back().writes.size() + pending_.back().removals.size() + size >
            max_entries_per_transaction)
        pending_.emplace_back();
    for (auto& key : removals) {
        if (is_full(pending_.back()))
            pending_.emplace_back();
        pending_.back().removals.push_back(std::move(key));
    }
    for (auto& [key, write] : writes) {
        if (is_full(pending_.back()))
            pending_.emplace_back();
        pending_.back().writes.push_back(std::move(write));
    }
}

void commit_queue::renew()
{
    if (in_flight_)
        return;
    pending_.emplace_back();
    send_next();
}

void commit_queue::release()
{
    is_releasing_ = true;
    pending_.emplace_back();
    if (!in_flight_)
        send_next();
}

void commit_queue::send_next()
{
    if (pending_.empty())
        return observer_.on_idle();
    auto next = std::move(pending_.front());
    pending_.pop_front();
    ++lease_.renewals;
    if (is_releasing_ && pending_.empty())
        lease_.holder.clear();
    sent_lease_ = encode(lease_);
    transaction_ = {};
    transaction_.conditions.push_back({rows::layout::lease_row(), version_});
    transaction_.writes = std::move(next.writes);
    transaction_.writes.push_back({rows::layout::lease_row(), sent_lease_});
    transaction_.removals = std::move(next.removals);
    in_flight_ = true;
    send();
}

void commit_queue::send()
{
    std::weak_ptr<bool> const alive = alive_;
    sent_at_ = timers_.now();
    store_.commit(transaction_, store_latency_.timeout(),
                  [this, alive](rows::commit_result const& result) {
                      if (!alive.expired())
                          handle_result(result);
                  });
}

void commit_queue::handle_result(rows::commit_result const& result)
{
    store_latency_.record(result.outcome, timers_.now() - sent_at_);
    switch (result.outcome) {
    case rows::commit_outcome::committed:
        return complete(result.version);
    case rows::commit_outcome::conflict:
        if (auto const version = find_own_lease(result, sent_lease_))
            return complete(*version);
        return observer_.on_lease_lost();
    case rows::commit_outcome::not_done:
    case rows::commit_outcome::unknown:
        return schedule_retry();
    }
}

void commit_queue::schedule_retry()
{
    retry_timer_ = timers_.after(retry_delay, [this] { send(); });
}

void commit_queue::complete(rows::row_version version)
{
    version_ = version;
    in_flight_ = false;
    last_commit_at_ = timers_.now();
    observer_.on_committed(transaction_, version);
    send_next();
}

} // namespace sequoiaroute::scheduler
