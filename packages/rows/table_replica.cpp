#include "rows/table_replica.hpp"

#include "core/event_log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiaroute::rows {

namespace {

/// The delays between retries while the store does not respond. The store
/// charges for refused calls too, so they are not shorter.
constexpr core::duration min_retry_delay{150};
constexpr core::duration max_retry_delay{600};

} // namespace

table_replica::table_replica(row_store& store, event::timer_service& timers,
                             options settings, observer on_row,
                             std::function<void()> on_update)
    : store_(store), timers_(timers), options_(std::move(settings)),
      on_row_(std::move(on_row)), on_update_(std::move(on_update)),
      retry_delays_(min_retry_delay, max_retry_delay)
{
}

void table_replica::start()
{
    load();
}

void table_replica::restart()
{
    ++attempt_;
    retry_timer_.reset();
    // Poll without waiting for a change: an immediate response confirms that
    // the replica is current.
    if (is_loaded())
        poll_feed(core::duration(0));
    else
        load();
}

void table_replica::apply_announced(row announced)
{
    if (is_loaded() && announced.key.table == options_.table &&
        announced.version > version_)
        apply(std::move(announced));
}

bool table_replica::is_current(std::uint64_t attempt) const
{
    return attempt == attempt_;
}

core::duration table_replica::age() const
{
    if (!confirmed_at_)
        return core::duration::max();
    return timers_.now() - *confirmed_at_;
}

core::duration table_replica::store_time() const
{
    if (!is_loaded())
        return core::duration(0);
    return store_clock_.time(timers_.now());
}

row_version table_replica::version_of(row_key const& key) const
{
    auto const found = rows_.find(key);
    return found == rows_.end() ? no_row : found->second.version;
}

void table_replica::retry(std::function<void()> call)
{
    retry_timer_ = timers_.after(retry_delays_.next(), std::move(call));
}

void table_replica::load()
{
    sent_at_ = timers_.now();
    loading_.clear();
    std::weak_ptr<bool> const alive = alive_;
    // This read only determines the version after which changes are polled. It
    // precedes the list of parts, so that a part that is created meanwhile is
    // not missed.
    store_.read({options_.table, {}, {}, std::nullopt, 1},
                [this, alive, attempt = attempt_](page const& result) {
                    if (alive.expired() || !is_current(attempt))
                        return;
                    if (result.is_ok && result.version < version_)
                        log_stale_read(result.version, version_);
                    if (!result.is_ok || result.version < version_)
                        return retry([this] { load(); });
                    loading_version_ = result.version;
                    store_clock_.record(result.store_time, sent_at_,
                                        timers_.now());
                    list_parts();
                });
}

void table_replica::list_parts()
{
    std::weak_ptr<bool> const alive = alive_;
    store_.list_parts(options_.table,
                      [this, alive, attempt = attempt_](part_list const& list) {
                          if (alive.expired() || !is_current(attempt))
                              return;
                          if (!list.is_ok)
                              return retry([this] { load(); });
                          load_parts(list.parts);
                      });
}

void table_replica::load_parts(std::vector<std::string> const& listed)
{
    std::set<std::string> parts(listed.begin(), listed.end());
    parts.insert(options_.parts.begin(), options_.parts.end());
    // A stale list lacks parts that the replica already knows.
    for (auto const& [key, item] : rows_)
        parts.insert(key.part);
    parts_to_load_ = parts.size();
    if (parts.empty())
        return finish_load();
    for (auto const& part : parts)
        load_page(part, options_.key_prefix);
}

void table_replica::load_page(std::string const& part, std::string from)
{
    range keys{options_.table, part, std::move(from), std::nullopt};
    if (!options_.key_prefix.empty()) {
        keys.until = options_.key_prefix;
        ++keys.until->back();
    }
    std::weak_ptr<bool> const alive = alive_;
    store_.read(std::move(keys),
                [this, alive, attempt = attempt_, part](page result) {
                    if (!alive.expired() && is_current(attempt))
                        receive_page(part, std::move(result));
                });
}

void table_replica::log_stale_read(row_version read, row_version known) const
{
    core::log_event("stale_read_repeated",
                    {{"table", options_.table},
                     {"version", static_cast<std::int64_t>(read)},
                     {"known_version", static_cast<std::int64_t>(known)}});
}

void table_replica::receive_page(std::string const& part, page result)
{
    if (result.is_ok && result.version < loading_version_)
        log_stale_read(result.version, loading_version_);
    // A page without rows does not tell where the next one begins. The feed
    // does not deliver what a page lacks that is older than this read.
    if (!result.is_ok || result.version < loading_version_ ||
        (result.has_more && result.rows.empty())) {
        // Ignore the responses for other parts of this attempt.
        ++attempt_;
        return retry([this] { load(); });
    }
    std::string last;
    for (auto& item : result.rows) {
        last = item.key.key;
        loading_.insert_or_assign(item.key, std::move(item));
    }
    if (result.has_more)
        return load_page(part, last + '\0');
    if (--parts_to_load_ == 0)
        finish_load();
}

void table_replica::finish_load()
{
    std::vector<row> removed;
    for (auto const& [key, item] : rows_) {
        if (!loading_.contains(key))
            removed.push_back({key, {}, loading_version_, true});
    }
    for (auto& item : removed)
        apply(std::move(item));
    for (auto& [key, item] : std::exchange(loading_, {}))
        apply(std::move(item));
    version_ = loading_version_;
    is_load_unconfirmed_ = true;
    poll_feed(core::duration(0));
}

void table_replica::poll_feed(core::duration wait)
{
    sent_at_ = timers_.now();
    std::weak_ptr<bool> const alive = alive_;
    store_.poll_feed(options_.table, version_, wait,
                     [this, alive, attempt = attempt_](feed_page page) {
                         if (!alive.expired() && is_current(attempt))
                             receive_changes(std::move(page));
                     });
}

void table_replica::receive_changes(feed_page page)
{
    if (page.outcome == feed_outcome::history_lost) {
        core::log_event("history_lost",
                        {{"table", options_.table},
                         {"version", static_cast<std::int64_t>(version_)},
                         {"age_ms", is_loaded() ? age().count() : -1}});
        return is_load_unconfirmed_ ? retry([this] { load(); }) : load();
    }
    if (page.outcome == feed_outcome::unavailable)
        return retry([this] { poll_feed(options_.wait); });
    bool const has_changes = !page.rows.empty();
    for (auto& changed : page.rows)
        apply(std::move(changed));
    retry_delays_.reset();
    store_clock_.record(page.store_time, sent_at_, timers_.now());
    version_ = std::max(version_, page.version);
    is_load_unconfirmed_ = false;
    confirmed_at_ = sent_at_;
    if (on_update_)
        on_update_();
    if (has_changes && options_.poll_delay > core::duration(0))
        retry_timer_ = timers_.after(options_.poll_delay,
                                     [this] { poll_feed(options_.wait); });
    else
        poll_feed(options_.wait);
}

void table_replica::apply(row changed)
{
    if (!options_.key_prefix.empty() &&
        !changed.key.key.starts_with(options_.key_prefix))
        return;
    auto const existing = rows_.find(changed.key);
    bool const exists = existing != rows_.end();
    if (exists && existing->second.version >= changed.version)
        return;
    if (changed.is_removed && !exists)
        return;
    on_row_(changed);
    if (changed.is_removed)
        rows_.erase(existing);
    else
        rows_.insert_or_assign(changed.key, std::move(changed));
}

} // namespace sequoiaroute::rows
