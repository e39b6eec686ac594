#include "scheduler/commit_queue.hpp"

#include "core/codec.hpp"
#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// The store takes 100 entries, one of which is the condition on the lease and
/// one the lease itself.
constexpr std::size_t entries_per_transaction = 96;
constexpr std::size_t bytes_per_transaction = 600'000;
constexpr core::duration resend_delay{120};

std::size_t bytes_of(std::vector<rows::row_write> const& writes)
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

lease_record decode_lease(std::string_view text)
{
    auto const document = core::json::parse(text, nullptr, false);
    if (!document.is_object())
        return {};
    return {document.value("holder", std::string()),
            document.value("address", std::string()),
            document.value("term", std::int64_t{0}),
            document.value("renewals", std::int64_t{0})};
}

std::optional<rows::row_version> find_lease(rows::commit_result const& conflict,
                                            std::string_view encoded)
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
      version_(version), observer_(observer), last_written_at_(timers.now())
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
        if (order.what == order_change::kind::remove) {
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
    auto const is_full = [&](batch const& target) {
        return target.writes.size() + target.removals.size() >=
                   entries_per_transaction ||
               bytes_of(target.writes) >= bytes_per_transaction;
    };
    // A gang's orders should take effect together, so a change that fits into
    // one transaction is not divided.
    auto const size = writes.size() + removals.size();
    if (waiting_.empty() ||
        waiting_.back().writes.size() + waiting_.back().removals.size() + size >
            entries_per_transaction)
        waiting_.emplace_back();
    for (auto& key : removals) {
        if (is_full(waiting_.back()))
            waiting_.emplace_back();
        waiting_.back().removals.push_back(std::move(key));
    }
    for (auto& [key, write] : writes) {
        if (is_full(waiting_.back()))
            waiting_.emplace_back();
        waiting_.back().writes.push_back(std::move(write));
    }
}

void commit_queue::renew()
{
    if (in_flight_)
        return;
    waiting_.emplace_back();
    send_next();
}

void commit_queue::release()
{
    is_releasing_ = true;
    waiting_.emplace_back();
    if (!in_flight_)
        send_next();
}

void commit_queue::send_next()
{
    if (waiting_.empty())
        return observer_.on_idle();
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    ++lease_.renewals;
    if (is_releasing_ && waiting_.empty())
        lease_.holder.clear();
    current_lease_ = encode(lease_);
    current_ = {};
    current_.conditions.push_back({rows::layout::lease_row(), version_});
    current_.writes = std::move(next.writes);
    current_.writes.push_back({rows::layout::lease_row(), current_lease_});
    current_.removals = std::move(next.removals);
    in_flight_ = true;
    send();
}

void commit_queue::send()
{
    std::weak_ptr<bool> const alive = alive_;
    sent_at_ = timers_.now();
    store_.commit(current_, store_latency_.timeout(),
                  [this, alive](rows::commit_result const& result) {
                      if (!alive.expired())
                          receive(result);
                  });
}

void commit_queue::receive(rows::commit_result const& result)
{
    store_latency_.record(result.outcome, timers_.now() - sent_at_);
    switch (result.outcome) {
    case rows::commit_outcome::committed:
        return finish(result.version);
    case rows::commit_outcome::conflict:
        if (auto const version = find_lease(result, current_lease_))
            return finish(*version);
        return observer_.on_lease_lost();
    case rows::commit_outcome::not_done:
    case rows::commit_outcome::unknown:
        return resend_later();
    }
}

void commit_queue::resend_later()
{
    retry_timer_ = timers_.after(resend_delay, [this] { send(); });
}

void commit_queue::finish(rows::row_version version)
{
    version_ = version;
    in_flight_ = false;
    last_written_at_ = timers_.now();
    observer_.on_written(current_, version);
    send_next();
}

} // namespace sequoiaroute::scheduler
