#include "rows/table_replica.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::rows {

namespace {

/// Spacing of calls while the store does not answer; each refused call is
/// paid for.
constexpr core::duration first_retry_delay{150};
constexpr core::duration longest_retry_delay{600};

} // namespace

table_replica::table_replica(row_store& store, event::timer_service& timers,
                             options settings, observer on_row,
                             std::function<void()> on_pass)
    : store_(store), timers_(timers), options_(std::move(settings)),
      on_row_(std::move(on_row)), on_pass_(std::move(on_pass)),
      retry_delays_(first_retry_delay, longest_retry_delay)
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
    // An answer at once shows that the copy is up to date.
    if (is_loaded())
        follow(core::duration(0));
    else
        load();
}

void table_replica::apply_announced(row announced)
{
    if (is_loaded() && announced.key.table == options_.table &&
        announced.version > newest_version_)
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
    return store_time_ + (timers_.now() - store_time_read_at_);
}

row_version table_replica::version_of(row_key const& key) const
{
    auto const found = rows_.find(key);
    return found == rows_.end() ? no_row : found->second.version;
}

void table_replica::retry(std::function<void()> step)
{
    retry_timer_ = timers_.after(retry_delays_.next(), std::move(step));
}

void table_replica::load()
{
    sent_at_ = timers_.now();
    loading_.clear();
    std::weak_ptr<bool> const alive = alive_;
    // Changes are followed from before the parts are listed, so that a part
    // that appears meanwhile is not missed.
    store_.read({options_.table, {}, {}, std::nullopt, 1},
                [this, alive, attempt = attempt_](page const& result) {
                    if (alive.expired() || !is_current(attempt))
                        return;
                    if (!result.is_ok)
                        return retry([this] { load(); });
                    loading_version_ = result.version;
                    store_time_ = result.store_time;
                    store_time_read_at_ = timers_.now();
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

void table_replica::load_parts(std::vector<std::string> const& parts)
{
    parts_to_load_ = parts.size();
    if (parts.empty())
        return finish_load();
    for (auto const& part : parts)
        load_page(part, options_.key_prefix);
}

void table_replica::load_page(std::string const& part, std::string from)
{
    range wanted{options_.table, part, std::move(from), std::nullopt};
    if (!options_.key_prefix.empty()) {
        wanted.until = options_.key_prefix;
        ++wanted.until->back();
    }
    std::weak_ptr<bool> const alive = alive_;
    store_.read(std::move(wanted),
                [this, alive, attempt = attempt_, part](page result) {
                    if (!alive.expired() && is_current(attempt))
                        receive_page(part, std::move(result));
                });
}

void table_replica::receive_page(std::string const& part, page result)
{
    if (!result.is_ok) {
        // Answers for other parts of this attempt no longer count.
        ++attempt_;
        return retry([this] { load(); });
    }
    std::string last;
    for (auto& entry : result.rows) {
        last = entry.key.key;
        loading_.insert_or_assign(entry.key, std::move(entry));
    }
    if (result.has_more)
        return load_page(part, last + '\0');
    if (--parts_to_load_ == 0)
        finish_load();
}

void table_replica::finish_load()
{
    std::vector<row> removed;
    for (auto const& [key, entry] : rows_) {
        if (!loading_.contains(key))
            removed.push_back({key, {}, loading_version_, true});
    }
    for (auto& entry : removed)
        apply(std::move(entry));
    for (auto& [key, entry] : std::exchange(loading_, {}))
        apply(std::move(entry));
    version_ = loading_version_;
    newest_version_ = std::max(newest_version_, version_);
    confirmed_at_ = sent_at_;
    if (on_pass_)
        on_pass_();
    follow(options_.wait);
}

void table_replica::follow(core::duration wait)
{
    sent_at_ = timers_.now();
    std::weak_ptr<bool> const alive = alive_;
    store_.follow(options_.table, version_, wait,
                  [this, alive, attempt = attempt_](feed_page page) {
                      if (!alive.expired() && is_current(attempt))
                          receive(std::move(page));
                  });
}

void table_replica::receive(feed_page page)
{
    if (page.outcome == feed_outcome::history_lost)
        return load();
    if (page.outcome == feed_outcome::unavailable)
        return retry([this] { follow(options_.wait); });
    bool const has_changes = !page.rows.empty();
    for (auto& changed : page.rows)
        apply(std::move(changed));
    retry_delays_.reset();
    version_ = std::max(version_, page.version);
    newest_version_ = std::max(newest_version_, version_);
    confirmed_at_ = sent_at_;
    if (on_pass_)
        on_pass_();
    if (has_changes && options_.pause > core::duration(0))
        retry_timer_ =
            timers_.after(options_.pause, [this] { follow(options_.wait); });
    else
        follow(options_.wait);
}

void table_replica::apply(row changed)
{
    if (!options_.key_prefix.empty() &&
        !changed.key.key.starts_with(options_.key_prefix))
        return;
    auto const known = rows_.find(changed.key);
    bool const is_known = known != rows_.end();
    if (is_known && known->second.version >= changed.version)
        return;
    if (changed.is_removed && !is_known)
        return;
    on_row_(changed);
    if (changed.is_removed)
        rows_.erase(known);
    else
        rows_.insert_or_assign(changed.key, std::move(changed));
}

} // namespace sequoiaroute::rows
