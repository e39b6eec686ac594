#pragma once

#include "support/memory_table.hpp"

#include <memory>
#include <mutex>

namespace sequoiaroute::support {

/// A table in memory whose answers can be lost.
class commit_fault_table final : public platform::table
{
public:
    core::result<platform::row> read(std::string_view key) override
    {
        std::lock_guard const lock(mutex_);
        if (is_down || (failing_reads > 0 && failing_reads-- > 0))
            return core::error{core::result_code::timed_out, "no answer"};
        return rows_.read(key);
    }

    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        std::lock_guard const lock(mutex_);
        if (is_down)
            return core::error{core::result_code::timed_out, "no answer"};
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
        return core::error{core::result_code::write_unknown, "answer lost"};
    }

    bool is_down = false;
    int commits = 0;
    int job_commits = 0;
    int failing_job_commit = 0; ///< which commit loses its answer; 0 for none
    bool is_failing_commit_applied = false;
    int failing_reads_after_commit = 0;
    int failing_reads = 0;

private:
    std::mutex mutex_;
    support::memory_table rows_;
};

/// A way to a table that is cut once its budget of operations is used up.
class disconnectable_table final : public platform::table
{
public:
    explicit disconnectable_table(platform::table& table) : table_(table) {}

    core::result<platform::row> read(std::string_view key) override
    {
        if (is_cut())
            return core::error{core::result_code::timed_out, "cut off"};
        return table_.read(key);
    }
    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        if (is_cut())
            return core::error{core::result_code::timed_out, "cut off"};
        return table_.scan(prefix);
    }
    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        if (is_cut())
            return core::error{core::result_code::store_unavailable, "cut"};
        if (budget)
            --*budget;
        return table_.commit(conditions, writes);
    }

    std::shared_ptr<int> budget;

private:
    bool is_cut() const { return budget && *budget <= 0; }

    platform::table& table_;
};

} // namespace sequoiaroute::support
