#pragma once

#include "platform/table.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sequoiaroute::support {

/// A table in memory that a test can make unavailable, that can lose a commit
/// or its response, and that can return stale rows.
class fake_table final : public platform::table
{
public:
    /// What happens to the next commit.
    enum class commit_fault
    {
        none,
        response_lost, ///< the commit is applied, but returns write_unknown
        request_lost,  ///< it is not applied, and returns write_unknown
    };

    core::result<platform::row> read(std::string_view key) override
    {
        std::lock_guard const lock(mutex_);
        if (!is_available_ || failing_reads_-- > 0)
            return unavailable();
        return find(serves_stale_rows_ ? stale_rows_ : rows_, key);
    }

    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        std::lock_guard const lock(mutex_);
        if (!is_available_)
            return unavailable();
        std::vector<platform::row> found;
        for (auto const& [key, row] : rows_) {
            if (key.starts_with(prefix))
                found.push_back(row);
        }
        return found;
    }

    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        std::lock_guard const lock(mutex_);
        if (!is_available_)
            return unavailable();
        auto const fault = std::exchange(fault_, commit_fault::none);
        if (fault == commit_fault::request_lost)
            return unknown_outcome();
        for (auto const& condition : conditions) {
            if (find(rows_, condition.key).version != condition.version)
                return core::error{core::result_code::conflict, "conflict"};
        }
        for (auto const& write : writes)
            apply(write);
        if (fault == commit_fault::response_lost)
            return unknown_outcome();
        return core::success();
    }

    void set_available(bool is_available) { is_available_ = is_available; }
    void set_commit_fault(commit_fault fault) { fault_ = fault; }
    /// Makes the next reads of single rows fail.
    void set_failing_reads(int count) { failing_reads_ = count; }

    /// Makes reads of single rows return the rows as of now, until
    /// thaw_reads().
    void freeze_reads()
    {
        stale_rows_ = rows_;
        serves_stale_rows_ = true;
    }
    void thaw_reads() { serves_stale_rows_ = false; }

private:
    using row_map = std::map<std::string, platform::row, std::less<>>;

    static core::error unavailable()
    {
        return {core::result_code::store_unavailable, "table is down"};
    }

    static core::error unknown_outcome()
    {
        return {core::result_code::write_unknown, "no answer"};
    }

    static platform::row find(row_map const& rows, std::string_view key)
    {
        auto const found = rows.find(key);
        return found == rows.end() ? platform::row{std::string(key), 0, {}}
                                   : found->second;
    }

    void apply(platform::row_write const& write)
    {
        if (write.value)
            rows_[write.key] = {write.key, ++version_, *write.value};
        else
            rows_.erase(write.key);
    }

    std::mutex mutex_;
    row_map rows_;
    row_map stale_rows_;
    std::uint64_t version_ = 0;
    bool is_available_ = true;
    bool serves_stale_rows_ = false;
    int failing_reads_ = 0;
    commit_fault fault_ = commit_fault::none;
};

} // namespace sequoiaroute::support
