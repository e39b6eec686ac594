#include "decider/decider_lease.hpp"

#include "core/log.hpp"

namespace sequoiaroute::decider {

namespace {

using core::result_code;

/// After a longer gap between two reads the table is taken to have been
/// unavailable. The holder could not renew either, so the lifetime starts over.
constexpr core::duration max_read_gap = std::chrono::milliseconds(1500);

/// @return the lease, a default one if the row is absent
core::result<lease_record> parse(platform::row const& row)
{
    if (row.version == 0)
        return lease_record{};
    return core::message_from<lease_record>(row.value);
}

core::status write_if_unchanged(platform::recovering_writer& rows,
                                platform::row const& row,
                                lease_record const& next)
{
    platform::row_condition const condition{row.key, row.version};
    platform::row_write const write{row.key, next};
    return rows.write({&condition, 1}, {&write, 1});
}

} // namespace

decider_lease::decider_lease(platform::recovering_writer& rows,
                             core::clock const& clock, peers::entry_record self)
    : rows_(rows), clock_(clock), self_(std::move(self))
{
}

bool decider_lease::is_held_by_self(lease_record const& record) const
{
    return record.holder == self_.entry_id &&
           record.incarnation == self_.incarnation;
}

void decider_lease::tick()
{
    std::lock_guard const tick_lock(tick_mutex_);
    auto const started = clock_.now();
    if (is_renewed(started))
        return;
    auto const row = rows_.read(row_key);
    if (!core::is_ok(row))
        return;
    handle_row(core::value(row), started);
}

bool decider_lease::is_renewed(core::time_point now) const
{
    return state() != lease_state::follower &&
           now - renewed_at_ < renewal_period;
}

void decider_lease::handle_row(platform::row const& row, core::time_point now)
{
    auto const parsed = parse(row);
    if (!core::is_ok(parsed)) {
        core::log(core::log_level::error, "cannot read the decider lease row",
                  {{"error", core::failure(parsed).message}});
        return;
    }
    auto next = core::value(parsed);
    if (is_held_by_self(next)) {
        set_held(row.version, next);
        ++next.renewals;
        write(row, next, now);
        return;
    }
    step_down();
    {
        std::lock_guard const lock(mutex_);
        record_ = next;
    }
    if (!is_takeover_due(row, next, now))
        return;
    write(row,
          {self_.entry_id, self_.incarnation, self_.peer_address, next.term + 1,
           0},
          now);
}

bool decider_lease::is_takeover_due(platform::row const& row,
                                    lease_record const& record,
                                    core::time_point now)
{
    std::lock_guard const lock(mutex_);
    bool const is_wait_restarted =
        row.version != observed_version_ || now - last_read_at_ > max_read_gap;
    last_read_at_ = now;
    if (is_wait_restarted) {
        observed_version_ = row.version;
        // The answer may show a renewal that came after the read had begun.
        version_unchanged_since_ = clock_.now();
    }
    return record.holder.empty() || now - version_unchanged_since_ >= lifetime;
}

void decider_lease::write(platform::row const& row, lease_record const& next,
                          core::time_point started)
{
    auto const outcome = write_if_unchanged(rows_, row, next);
    if (core::code_of(outcome) == result_code::conflict) {
        step_down();
        return;
    }
    if (!core::is_ok(outcome))
        return;
    auto const written = rows_.read(row_key);
    if (!core::is_ok(written))
        return;
    auto const parsed = parse(core::value(written));
    if (!core::is_ok(parsed) || !is_held_by_self(core::value(parsed))) {
        step_down();
        return;
    }
    set_held(core::value(written).version, core::value(parsed));
    renewed_at_ = started;
    std::lock_guard const lock(mutex_);
    // The lifetime starts before the write was sent, because other entries
    // measure it from the change of the row, which is later.
    confirmed_at_ = started;
}

void decider_lease::set_held(std::uint64_t version, lease_record const& record)
{
    std::lock_guard const lock(mutex_);
    if (!is_held_) {
        core::log(core::log_level::info,
                  "this entry acquired the decider lease",
                  {{"term", std::to_string(record.term)}});
        // Suspended until a write succeeds; see write().
        confirmed_at_ = clock_.now() - lifetime;
    }
    is_held_ = true;
    version_ = version;
    record_ = record;
}

void decider_lease::step_down()
{
    std::lock_guard const lock(mutex_);
    if (is_held_)
        core::log(core::log_level::warning, "lost the decider lease",
                  {{"term", std::to_string(record_.term)}});
    is_held_ = false;
}

void decider_lease::release()
{
    std::lock_guard const tick_lock(tick_mutex_);
    auto const row = rows_.read(row_key);
    if (!core::is_ok(row))
        return;
    auto const parsed = parse(core::value(row));
    if (!core::is_ok(parsed) || !is_held_by_self(core::value(parsed)))
        return;
    step_down();
    auto next = core::value(parsed);
    next.holder.clear();
    next.address.clear();
    auto const outcome = write_if_unchanged(rows_, core::value(row), next);
    if (!core::is_ok(outcome))
        core::log(core::log_level::warning,
                  "cannot release the decider lease; it will expire",
                  {{"error", core::failure(outcome).message}});
}

lease_state decider_lease::state() const
{
    std::lock_guard const lock(mutex_);
    if (!is_held_)
        return lease_state::follower;
    return clock_.now() - confirmed_at_ < lifetime ? lease_state::holding
                                                   : lease_state::suspended;
}

std::uint64_t decider_lease::term() const
{
    std::lock_guard const lock(mutex_);
    return record_.term;
}

std::string decider_lease::decider_address() const
{
    std::lock_guard const lock(mutex_);
    return record_.address;
}

std::optional<platform::row_condition> decider_lease::fence() const
{
    if (state() != lease_state::holding)
        return std::nullopt;
    std::lock_guard const lock(mutex_);
    return platform::row_condition{row_key, version_};
}

core::result<platform::row_condition> decider_lease::refresh_fence()
{
    SEQUOIA_TRY_INTO(auto const row, rows_.read(row_key));
    SEQUOIA_TRY_INTO(auto const record, parse(row));
    if (!is_held_by_self(record) || record.term != term()) {
        step_down();
        return core::error{result_code::stale_term,
                           "another entry holds the decider lease"};
    }
    std::lock_guard const lock(mutex_);
    version_ = std::max(version_, row.version);
    return platform::row_condition{row_key, row.version};
}

} // namespace sequoiaroute::decider
