#pragma once

#include "core/backoff.hpp"
#include "event/timer_service.hpp"
#include "rows/row_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiaroute::rows {

/// Keeps a copy of one table up to date: reads it whole, then follows its
/// changes. If the store dropped the history in between, the table is read
/// whole again and compared, so that no change and no removal is lost.
class table_replica
{
public:
    struct options
    {
        std::string table;
        /// How long the store may hold a call without a change. It bounds how
        /// long a connection that went silent stays unnoticed.
        core::duration wait{1000};
        /// Pause after a change, so that a series of changes costs one call.
        core::duration pause{0};
        /// Follows only keys that start so; others are skipped.
        std::string key_prefix;
    };

    using observer = std::function<void(row const&)>;

    /// @param store the store
    /// @param timers drives retries
    /// @param settings what to follow
    /// @param on_row receives every row that was written or removed
    /// @param on_pass called after each answer of the store
    table_replica(row_store& store, event::timer_service& timers,
                  options settings, observer on_row,
                  std::function<void()> on_pass = {});

    /// Starts following.
    void start();

    /// Asks again at once, without waiting for an answer under way. Used when
    /// the store answers again after a silence.
    void restart();

    /// Takes a row that its writer announced before the feed has it. A row that
    /// is not newer than all that the feed has told is left out, since it may
    /// have been removed.
    void apply_announced(row announced);

    /// Changes how long to wait after a change before asking again.
    void set_pause(core::duration pause) { options_.pause = pause; }

    /// @return whether the table has been read whole once
    bool is_loaded() const { return confirmed_at_.has_value(); }

    /// @return the moment up to which all changes are known, if any
    std::optional<core::time_point> confirmed_at() const
    {
        return confirmed_at_;
    }

    /// @return the store's steady clock now; zero before the table was read
    core::duration store_time() const;

    /// @return how long ago the copy was known to be complete
    core::duration age() const;

    /// @return the version of a row, no_row if it does not exist
    row_version version_of(row_key const& key) const;

    std::map<row_key, row> const& rows() const { return rows_; }

private:
    void load();
    void list_parts();
    void load_parts(std::vector<std::string> const& parts);
    void load_page(std::string const& part, std::string from);
    void receive_page(std::string const& part, page result);
    void finish_load();
    void follow(core::duration wait);
    void receive(feed_page page);
    void apply(row changed);
    void retry(std::function<void()> step);
    bool is_current(std::uint64_t attempt) const;

    row_store& store_;
    event::timer_service& timers_;
    options options_;
    observer on_row_;
    std::function<void()> on_pass_;
    std::map<row_key, row> rows_;
    row_version version_ = no_row;
    /// The highest version up to which the feed has told all changes. A reading
    /// may be older.
    row_version newest_version_ = no_row;
    std::optional<core::time_point> confirmed_at_;
    core::time_point sent_at_{};
    /// The store's clock at the last reading, and when that was.
    core::duration store_time_{0};
    core::time_point store_time_read_at_{};

    // State of a reading of the whole table.
    std::size_t parts_to_load_ = 0;
    std::map<row_key, row> loading_;
    row_version loading_version_ = no_row;
    core::backoff retry_delays_;
    std::unique_ptr<event::timer> retry_timer_;
    /// Answers to calls of earlier attempts are ignored.
    std::uint64_t attempt_ = 0;
    /// Callbacks of the store hold it weakly, so that they end with this
    /// object.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::rows
