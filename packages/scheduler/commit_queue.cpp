#include "scheduler/commit_queue.hpp"

#include "core/codec.hpp"
#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "scheduler/change_list.hpp"

#include <utility>

namespace sequoiaroute::scheduler {

namespace {

/// The store accepts 100 entries per transaction. Two of them are the condition
/// on the lease row and the write of it.
constexpr std::size_t max_entries_per_transaction = 96;
/// A transaction accepts no more writes once its values have this size.
constexpr std::size_t max_bytes_per_transaction = 600'000;
constexpr core::duration retry_delay{120};

static_assert(max_orders_per_change < max_entries_per_transaction,
              "a change with its progress fits in a transaction");

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
        append(make_batch(change));
    if (!in_flight_)
        send_next();
}

void commit_queue::put(rows::row_key key, std::string value)
{
    batch rows;
    rows.writes.emplace(std::move(key), std::move(value));
    append(std::move(rows));
    if (!in_flight_)
        send_next();
}

std::size_t commit_queue::batch::bytes() const
{
    std::size_t sum = 0;
    for (auto const& [key, value] : writes)
        sum += value.size();
    return sum;
}

bool commit_queue::batch::fits(batch const& other) const
{
    return writes.size() + removals.size() + other.writes.size() +
                   other.removals.size() <=
               max_entries_per_transaction &&
           bytes() + other.bytes() <= max_bytes_per_transaction;
}

void commit_queue::batch::merge(batch other)
{
    for (auto const& key : other.removals)
        writes.erase(key);
    removals.merge(other.removals);
    for (auto& [key, value] : other.writes)
        writes.insert_or_assign(key, std::move(value));
}

commit_queue::batch commit_queue::make_batch(job_change const& change)
{
    batch rows;
    for (auto const& order : change.orders) {
        auto key = rows::layout::order_row(order.order.agent,
                                           to_text(order.order.run));
        if (order.action == order_change::action_type::remove) {
            rows.writes.erase(key);
            rows.removals.insert(std::move(key));
        } else {
            rows.writes.insert_or_assign(std::move(key), order.value);
        }
    }
    auto key = rows::layout::progress_row(change.job_id);
    if (change.is_retired)
        rows.removals.insert(std::move(key));
    else
        rows.writes.insert_or_assign(std::move(key),
                                     jobs::encode(change.progress));
    return rows;
}

void commit_queue::append(batch rows)
{
    if (!pending_.empty() && pending_.back().fits(rows))
        pending_.back().merge(std::move(rows));
    else
        pending_.push_back(std::move(rows));
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
    for (auto& [key, value] : next.writes)
        transaction_.writes.push_back({key, std::move(value)});
    transaction_.writes.push_back({rows::layout::lease_row(), sent_lease_});
    transaction_.removals.assign(next.removals.begin(), next.removals.end());
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
