#include "scheduler/lease_candidate.hpp"

#include "core/event_log.hpp"
#include "rows/row_layout.hpp"
#include "rows/unreadable_row.hpp"

#include <utility>

namespace sequoiaroute::scheduler {

namespace {

/// A lease that has not been renewed for this long, which is three missed
/// renewals, may be taken over. Takeovers are safe at any time, since each
/// write depends on the lease row; the wait only avoids needless ones.
constexpr core::duration takeover_after{1100};
/// A slow store delays renewals as well, so a takeover waits in addition for
/// this many times the duration of a read.
constexpr int read_time_factor = 6;
/// A replica older than this does not show whether the lease was renewed.
constexpr core::duration max_replica_age{1500};
constexpr core::duration claim_timeout{1000};

} // namespace

lease_candidate::lease_candidate(rows::row_store& store,
                                 event::timer_service& timers,
                                 rows::table_replica const& work,
                                 std::string node, std::string address,
                                 std::function<void(acquisition)> on_acquired)
    : store_(store), timers_(timers), work_(work), node_(std::move(node)),
      address_(std::move(address)), on_acquired_(std::move(on_acquired))
{
}

void lease_candidate::observe(rows::row const& changed)
{
    observed_ = changed.is_removed ? lease_record{} : read(changed);
    observed_version_ = changed.is_removed ? rows::no_row : changed.version;
    changed_at_ = timers_.now();
    if (is_vacant())
        claim();
}

/// A lease that cannot be decoded is vacant, and its holder loses it with its
/// next write. Its term is kept, since terms never decrease.
lease_record lease_candidate::read(rows::row const& changed) const
{
    auto decoded = decode_lease(changed.value);
    if (core::is_ok(decoded))
        return core::value(std::move(decoded));
    rows::log_unreadable_row(changed, core::failure(decoded));
    lease_record vacant;
    vacant.term = observed_.term;
    return vacant;
}

void lease_candidate::check()
{
    if (!work_.is_loaded() || work_.age() > max_replica_age)
        return;
    if (is_vacant())
        claim();
    else if (timers_.now() - changed_at_ > takeover_after)
        reread_and_claim(true);
}

void lease_candidate::take_over()
{
    if (!is_holder_ && work_.is_loaded())
        reread_and_claim(false);
}

void lease_candidate::rejoin()
{
    is_holder_ = false;
    changed_at_ = timers_.now();
}

bool lease_candidate::is_vacant() const
{
    // A lease held under this process's own name is from before its restart.
    return observed_.holder.empty() || observed_.holder == node_;
}

/// Reads the lease row from the store before a claim: the replica may lag, and
/// the duration of the read shows how slow the store is.
void lease_candidate::reread_and_claim(bool is_expiry_required)
{
    if (is_rereading_ || is_stopped_)
        return;
    is_rereading_ = true;
    auto const key = rows::layout::lease_row();
    auto const requested_at = timers_.now();
    std::weak_ptr<bool> const alive = alive_;
    store_.read(
        rows::layout::single_row_range(key),
        [this, alive, requested_at,
         is_expiry_required](rows::page const& page) {
            if (alive.expired())
                return;
            is_rereading_ = false;
            if (!page.is_ok || page.rows.empty())
                return;
            if (!is_expiry_required && page.rows[0].version > observed_version_)
                observe(page.rows[0]);
            if (page.rows[0].version != observed_version_)
                return;
            auto const now = timers_.now();
            if (!is_expiry_required ||
                now - changed_at_ >
                    takeover_after + read_time_factor * (now - requested_at))
                claim();
        });
}

void lease_candidate::claim()
{
    if (is_claim_pending_ || is_holder_ || is_stopped_ || !work_.is_loaded())
        return;
    is_claim_pending_ = true;
    // A claim without an answer is retried unchanged, so that a conflict with
    // its own earlier attempt is recognised.
    if (!claim_ || claim_base_version_ != observed_version_) {
        claim_ = lease_record{node_, address_, observed_.term + 1, 0};
        claim_base_version_ = observed_version_;
        previous_holder_ = observed_.holder;
    }
    rows::transaction transaction;
    transaction.conditions.push_back(
        {rows::layout::lease_row(), claim_base_version_});
    transaction.writes.push_back({rows::layout::lease_row(), encode(*claim_)});
    std::weak_ptr<bool> const alive = alive_;
    store_.commit(std::move(transaction), claim_timeout,
                  [this, alive](rows::commit_result const& result) {
                      if (!alive.expired())
                          handle_result(result);
                  });
}

void lease_candidate::handle_result(rows::commit_result const& result)
{
    is_claim_pending_ = false;
    if (!claim_)
        return;
    if (result.outcome == rows::commit_outcome::committed)
        return acquire(result.version);
    if (result.outcome != rows::commit_outcome::conflict)
        return;
    if (auto const version = find_own_lease(result, encode(*claim_)))
        acquire(*version);
}

void lease_candidate::acquire(rows::row_version version)
{
    core::log_event("lease_acquired",
                    {{"term", claim_->term},
                     {"previous", previous_holder_},
                     {"unchanged_ms", (timers_.now() - changed_at_).count()}});
    is_holder_ = true;
    auto const lease = *std::exchange(claim_, std::nullopt);
    on_acquired_({lease, version});
}

} // namespace sequoiaroute::scheduler
