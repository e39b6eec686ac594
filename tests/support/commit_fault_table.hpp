#pragma once

#include "support/memory_table.hpp"

#include <memory>
#include <mutex>

namespace sequoiaroute::support {

/// A table in memory in which one chosen commit of a job, and reads after it,
/// can fail without a response. Other commits succeed.
class commit_fault_table final : public platform::table
{
public:
    core::result<platform::row> read(std::string_view key) override
    {
        std::lock_guard const lock(mutex_);
        if (is_down || (failing_reads > 0 && failing_reads-- > 0))
            return core::error{core::result_code::timed_out, "no response"};
        return rows_.read(key);
    }

    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        std::lock_guard const lock(mutex_);
        if (is_down)
            return core::error{core::result_code::timed_out, "no response"};
        return rows_.scan(prefix);
    }

    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        std::lock_guard const lock(mutex_);
        if (is_down)
            return core::error{core::result_code::store_unavailable, "down"};
        ++commits;
        bool const is_job =
            !writes.empty() && writes.front().key.starts_with("jobs/");
        if (!is_job || ++job_commits != failing_job_commit)
            return rows_.commit(conditions, writes);
        failing_reads = failing_reads_after_commit;
        if (is_failing_commit_applied)
            (void)rows_.commit(conditions, writes);
        return core::error{core::result_code::write_unknown, "response lost"};
    }

    bool is_down = false;
    int commits = 0;     ///< calls of commit() while the table was up
    int job_commits = 0; ///< those whose first write is a row of a job
    /// Which commit of a job has an unknown outcome, counted from 1; 0 for
    /// none.
    int failing_job_commit = 0;
    bool is_failing_commit_applied = false;
    int failing_reads_after_commit = 0; ///< how many row reads then fail
    int failing_reads = 0;              ///< how many row reads fail from now on

private:
    std::mutex mutex_;
    support::memory_table rows_;
};

/// A connection to a table that is cut once its remaining operations are used
/// up. Only commits count.
class disconnectable_table final : public platform::table
{
public:
    explicit disconnectable_table(platform::table& table) : table_(table) {}

    core::result<platform::row> read(std::string_view key) override
    {
        if (is_disconnected())
            return core::error{core::result_code::timed_out, "disconnected"};
        return table_.read(key);
    }
    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        if (is_disconnected())
            return core::error{core::result_code::timed_out, "disconnected"};
        return table_.scan(prefix);
    }
    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        if (is_disconnected())
            return core::error{core::result_code::store_unavailable,
                               "disconnected"};
        if (remaining_operations)
            --*remaining_operations;
        return table_.commit(conditions, writes);
    }

    std::shared_ptr<int> remaining_operations; ///< unlimited if null

private:
    bool is_disconnected() const
    {
        return remaining_operations && *remaining_operations <= 0;
    }

    platform::table& table_;
};

} // namespace sequoiaroute::support
