#pragma once

#include "event/timer_service.hpp"
#include "rows/row_store.hpp"

#include "manual_timers.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace sequoiaroute::support {

/// A store of rows in memory, with the faults that the platform's store may
/// have. Answers arrive after one millisecond of the test's time.
class memory_row_store final : public rows::row_store
{
public:
    enum class fault
    {
        none,
        refused,       ///< nothing is done, and the caller is told so
        silent,        ///< nothing is done, and no answer comes
        response_lost, ///< it is done, and no answer comes
    };

    explicit memory_row_store(event::timer_service& timers) : timers_(timers) {}

    fault next_commits = fault::none;
    fault reads = fault::none;
    /// Readings of this table show it as it was when nothing was written yet.
    std::string table_read_as_empty;
    std::size_t commit_count = 0;

    /// Writes a row as another writer would.
    void put(rows::row_key const& key, std::string value)
    {
        write(key, std::move(value), ++version_);
        wake(key.table);
    }

    std::optional<rows::row> find(rows::row_key const& key) const
    {
        auto const found = rows_.find(key);
        if (found == rows_.end())
            return std::nullopt;
        return found->second;
    }

    /// Forgets all changes so far, as the store may at any time.
    void drop_history()
    {
        history_.clear();
        history_start_ = version_;
    }

    /// Carries out commits that were held back, as a late one would be.
    /// @return how many took effect
    std::size_t apply_delayed_commits()
    {
        std::size_t done = 0;
        for (auto const& changes : silent_)
            done += apply(changes).outcome == rows::commit_outcome::committed;
        silent_.clear();
        return done;
    }

    void commit(rows::transaction changes, core::duration timeout,
                std::function<void(rows::commit_result)> done) override
    {
        ++commit_count;
        auto const fault = next_commits;
        rows::commit_result result;
        if (fault == fault::refused) {
            result.outcome = rows::commit_outcome::not_done;
            return later(core::duration(1), [done, result] { done(result); });
        }
        if (fault == fault::silent)
            silent_.push_back(changes);
        else
            result = apply(changes);
        bool const is_answered = fault == fault::none;
        if (!is_answered)
            result = {};
        later(is_answered ? core::duration(1) : timeout,
              [done, result] { done(result); });
    }

    void read(rows::range wanted, std::function<void(rows::page)> done) override
    {
        rows::page page;
        page.is_ok = reads == fault::none;
        page.version = version_;
        page.store_time = timers_.now().time_since_epoch();
        if (!table_read_as_empty.empty() &&
            wanted.table == table_read_as_empty) {
            page.version = 1;
            return later(core::duration(1), [done, page] { done(page); });
        }
        for (auto const& [key, row] : rows_) {
            if (!page.is_ok || key.table != wanted.table ||
                key.part != wanted.part || key.key < wanted.from ||
                (wanted.until && key.key >= *wanted.until))
                continue;
            if (page.rows.size() == wanted.limit) {
                page.has_more = true;
                break;
            }
            page.rows.push_back(row);
        }
        later(core::duration(1), [done, page] { done(page); });
    }

    void list_parts(std::string const& table,
                    std::function<void(rows::part_list)> done) override
    {
        std::set<std::string> parts;
        for (auto const& [key, row] : rows_) {
            if (key.table == table)
                parts.insert(key.part);
        }
        rows::part_list list{reads == fault::none,
                             {parts.begin(), parts.end()}};
        later(core::duration(1), [done, list] { done(list); });
    }

    void follow(std::string const& table, rows::row_version after,
                core::duration wait,
                std::function<void(rows::feed_page)> done) override
    {
        if (reads != fault::none) {
            later(wait, [done] { done({}); });
            return;
        }
        if (after < history_start_) {
            later(core::duration(1), [done] {
                done({rows::feed_outcome::history_lost, {}, 0});
            });
            return;
        }
        auto const id = ++last_feed_;
        feeds_[id] = {table, after, done};
        later(wait, [this, id] { finish_feed(id); });
        bool const has_news =
            std::any_of(history_.begin(), history_.end(), [&](auto const& row) {
                return row.key.table == table && row.version > after;
            });
        if (has_news)
            later(core::duration(1), [this, id] { finish_feed(id); });
    }

private:
    struct feed
    {
        std::string table;
        rows::row_version after = 0;
        std::function<void(rows::feed_page)> done;
    };

    rows::commit_result apply(rows::transaction const& changes)
    {
        rows::commit_result result;
        bool holds = true;
        for (auto const& condition : changes.conditions) {
            auto const current = find(condition.key);
            if (current)
                result.current.push_back(*current);
            holds = holds && (current ? current->version : rows::no_row) ==
                                 condition.version;
        }
        if (!holds) {
            result.outcome = rows::commit_outcome::conflict;
            return result;
        }
        result.current.clear();
        result.outcome = rows::commit_outcome::committed;
        result.version = ++version_;
        result.store_time = timers_.now().time_since_epoch();
        for (auto const& change : changes.writes)
            write(change.key, change.value, version_);
        std::set<std::string> tables;
        for (auto const& change : changes.writes)
            tables.insert(change.key.table);
        for (auto const& key : changes.removals) {
            tables.insert(key.table);
            if (rows_.erase(key) > 0)
                history_.push_back({key, {}, version_, true});
        }
        for (auto const& table : tables)
            wake(table);
        return result;
    }

    void write(rows::row_key const& key, std::string value,
               rows::row_version version)
    {
        rows::row row{key, std::move(value), version, false};
        rows_.insert_or_assign(key, row);
        history_.push_back(std::move(row));
    }

    /// Answers the feeds of a table that has changed.
    void wake(std::string const& table)
    {
        for (auto const& item : feeds_) {
            auto const id = item.first;
            if (item.second.table == table)
                later(core::duration(1), [this, id] { finish_feed(id); });
        }
    }

    void finish_feed(std::uint64_t id)
    {
        auto const found = feeds_.find(id);
        if (found == feeds_.end())
            return;
        auto const ended = std::move(found->second);
        feeds_.erase(found);
        if (ended.after < history_start_)
            return ended.done({rows::feed_outcome::history_lost, {}, 0});
        rows::feed_page page{rows::feed_outcome::current, {}, version_};
        for (auto const& row : history_) {
            if (row.key.table == ended.table && row.version > ended.after)
                page.rows.push_back(row);
        }
        ended.done(std::move(page));
    }

    void later(core::duration delay, std::function<void()> const& call)
    {
        auto const id = ++last_call_;
        calls_[id] = timers_.after(delay, [this, id, call] {
            auto const timer = std::move(calls_[id]);
            calls_.erase(id);
            call();
        });
    }

    event::timer_service& timers_;
    rows::row_version version_ = 1;
    rows::row_version history_start_ = 0;
    std::map<rows::row_key, rows::row> rows_;
    std::deque<rows::row> history_;
    std::vector<rows::transaction> silent_;
    std::map<std::uint64_t, feed> feeds_;
    std::uint64_t last_feed_ = 0;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> calls_;
    std::uint64_t last_call_ = 0;
};

} // namespace sequoiaroute::support
