#pragma once

#include "event/timer_service.hpp"
#include "rows/row_store.hpp"

#include "manual_timers.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace sequoiaroute::support {

/// A row store in memory that can inject the faults of the platform's store.
/// Responses arrive one millisecond later, as measured by the timers.
class memory_row_store final : public rows::row_store
{
public:
    enum class fault
    {
        none,
        refused,       ///< nothing is done, and the call reports that
        silent,        ///< no response; a commit may still be applied later
        response_lost, ///< a commit is applied, but there is no response
    };

    explicit memory_row_store(event::timer_service& timers) : timers_(timers) {}

    fault next_commits = fault::none; ///< of all commits from now on
    fault reads = fault::none; ///< any fault makes all reads and polls fail
    /// Reads of this table return it as of its first version, without rows.
    std::string table_read_as_empty;
    /// Whether reads return the rows that keep_state_for_stale_reads() has
    /// kept, as the real store may do for seconds after it has discarded its
    /// history. Feeds are current.
    bool are_reads_stale = false;
    /// Whether only the lists of parts are as stale as that.
    bool are_part_lists_stale = false;
    /// Polls of tables whose names begin so end without a response.
    std::optional<std::string> silent_feed_prefix;
    /// How long the store takes until it serves a read of a range, by part.
    std::map<std::string, core::duration> read_delays;
    std::size_t commit_count = 0; ///< failed commits included
    std::size_t read_count = 0;   ///< reads of rows, failed ones included

    /// Writes a row on behalf of another client, without conditions.
    void put(rows::row_key const& key, std::string value)
    {
        write(key, std::move(value), ++version_);
        finish_polls(key.table);
    }

    std::optional<rows::row> find(rows::row_key const& key) const
    {
        auto const found = rows_.find(key);
        if (found == rows_.end())
            return std::nullopt;
        return found->second;
    }

    /// Discards the history of changes, as the real store may at any time.
    /// Feeds that need it then end with history_lost.
    void drop_history()
    {
        history_.clear();
        history_start_ = version_;
    }

    /// Keeps the present rows as the result of stale reads.
    void keep_state_for_stale_reads() { kept_state_ = {version_, rows_}; }

    /// Applies the commits that met `fault::silent`, since the real store may
    /// apply a commit late.
    /// @return how many were applied without a conflict
    std::size_t apply_delayed_commits()
    {
        std::size_t applied = 0;
        for (auto const& transaction : silent_commits_)
            applied +=
                apply(transaction).outcome == rows::commit_outcome::committed;
        silent_commits_.clear();
        return applied;
    }

    void commit(rows::transaction transaction, core::duration timeout,
                std::function<void(rows::commit_result)> done) override
    {
        ++commit_count;
        auto const fault = next_commits;
        rows::commit_result result;
        if (fault == fault::refused) {
            result.outcome = rows::commit_outcome::not_done;
            return call_later(core::duration(1),
                              [done, result] { done(result); });
        }
        if (fault == fault::silent)
            silent_commits_.push_back(transaction);
        else
            result = apply(transaction);
        bool const is_answered = fault == fault::none;
        if (!is_answered)
            result = {};
        call_later(is_answered ? core::duration(1) : timeout,
                   [done, result] { done(result); });
    }

    void read(rows::range range, std::function<void(rows::page)> done) override
    {
        ++read_count;
        auto const delay = read_delays.find(range.part);
        if (delay == read_delays.end())
            return serve_read(range, done);
        call_later(delay->second,
                   [this, range, done] { serve_read(range, done); });
    }
    void list_parts(std::string const& table,
                    std::function<void(rows::part_list)> done) override
    {
        std::set<std::string> parts;
        auto const& listed =
            are_part_lists_stale ? kept_state_.rows : readable_rows();
        for (auto const& [key, row] : listed) {
            if (key.table == table)
                parts.insert(key.part);
        }
        rows::part_list list{reads == fault::none,
                             {parts.begin(), parts.end()}};
        call_later(core::duration(1), [done, list] { done(list); });
    }

    void poll_feed(std::string const& table, rows::row_version after,
                   core::duration wait,
                   std::function<void(rows::feed_page)> done) override
    {
        bool const is_silent =
            silent_feed_prefix && table.starts_with(*silent_feed_prefix);
        if (reads != fault::none || is_silent) {
            call_later(wait, [done] { done({}); });
            return;
        }
        if (after < history_start_) {
            call_later(core::duration(1), [done] {
                done({rows::feed_outcome::history_lost, {}, 0});
            });
            return;
        }
        auto const id = ++last_poll_id_;
        pending_polls_[id] = {table, after, done};
        call_later(wait, [this, id] { finish_poll(id); });
        bool const has_changes =
            std::any_of(history_.begin(), history_.end(), [&](auto const& row) {
                return row.key.table == table && row.version > after;
            });
        if (has_changes)
            call_later(core::duration(1), [this, id] { finish_poll(id); });
    }

private:
    /// A long poll of the feed of a table.
    struct pending_poll
    {
        std::string table;
        rows::row_version after = 0;
        std::function<void(rows::feed_page)> done;
    };

    /// The state of the store at an earlier time.
    struct state
    {
        rows::row_version version = 0;
        std::map<rows::row_key, rows::row> rows;
    };

    std::map<rows::row_key, rows::row> const& readable_rows() const
    {
        return are_reads_stale ? kept_state_.rows : rows_;
    }

    void serve_read(rows::range const& range,
                    std::function<void(rows::page)> const& done)
    {
        rows::page page;
        page.is_ok = reads == fault::none;
        page.version = are_reads_stale ? kept_state_.version : version_;
        page.store_time = timers_.now().time_since_epoch();
        if (!table_read_as_empty.empty() &&
            range.table == table_read_as_empty) {
            page.version = 1;
            return call_later(core::duration(1), [done, page] { done(page); });
        }
        for (auto const& [key, row] : readable_rows()) {
            if (!page.is_ok || key.table != range.table ||
                key.part != range.part || key.key < range.from ||
                (range.until && key.key >= *range.until))
                continue;
            if (page.rows.size() == range.limit) {
                page.has_more = true;
                break;
            }
            page.rows.push_back(row);
        }
        call_later(core::duration(1), [done, page] { done(page); });
    }

    rows::commit_result apply(rows::transaction const& transaction)
    {
        rows::commit_result result;
        bool conditions_hold = true;
        for (auto const& condition : transaction.conditions) {
            auto const current = find(condition.key);
            if (current)
                result.current.push_back(*current);
            conditions_hold = conditions_hold &&
                              (current ? current->version : rows::no_row) ==
                                  condition.version;
        }
        if (!conditions_hold) {
            result.outcome = rows::commit_outcome::conflict;
            return result;
        }
        result.current.clear();
        result.outcome = rows::commit_outcome::committed;
        result.version = ++version_;
        result.store_time = timers_.now().time_since_epoch();
        for (auto const& change : transaction.writes)
            write(change.key, change.value, version_);
        std::set<std::string> tables;
        for (auto const& change : transaction.writes)
            tables.insert(change.key.table);
        for (auto const& key : transaction.removals) {
            tables.insert(key.table);
            if (rows_.erase(key) > 0)
                history_.push_back({key, {}, version_, true});
        }
        for (auto const& table : tables)
            finish_polls(table);
        return result;
    }

    void write(rows::row_key const& key, std::string value,
               rows::row_version version)
    {
        rows::row row{key, std::move(value), version, false};
        rows_.insert_or_assign(key, row);
        history_.push_back(std::move(row));
    }

    /// Finishes the long polls of a table that has changed.
    void finish_polls(std::string const& table)
    {
        for (auto const& item : pending_polls_) {
            auto const id = item.first;
            if (item.second.table == table)
                call_later(core::duration(1), [this, id] { finish_poll(id); });
        }
    }

    void finish_poll(std::uint64_t id)
    {
        auto const found = pending_polls_.find(id);
        if (found == pending_polls_.end())
            return;
        auto const poll = std::move(found->second);
        pending_polls_.erase(found);
        if (poll.after < history_start_)
            return poll.done({rows::feed_outcome::history_lost, {}, 0});
        rows::feed_page page{rows::feed_outcome::current, {}, version_};
        page.store_time = timers_.now().time_since_epoch();
        for (auto const& row : history_) {
            if (row.key.table == poll.table && row.version > poll.after)
                page.rows.push_back(row);
        }
        poll.done(std::move(page));
    }

    /// Calls a function after a delay.
    void call_later(core::duration delay, std::function<void()> const& call)
    {
        auto const id = ++last_call_id_;
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
    state kept_state_;
    std::deque<rows::row> history_;
    std::vector<rows::transaction> silent_commits_;
    std::map<std::uint64_t, pending_poll> pending_polls_;
    std::uint64_t last_poll_id_ = 0;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> calls_;
    std::uint64_t last_call_id_ = 0;
};

} // namespace sequoiaroute::support
