#pragma once

#include "platform/table.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sequoiaroute::support {

/// A table in memory that fails as a test demands.
class fake_table final : public platform::table
{
public:
    /// What happens to the next commits.
    enum class commit_fault
    {
        none,
        response_lost, ///< the commit takes effect, its answer is lost
        request_lost,  ///< the commit does not take effect, nor is it answered
    };

    core::result<platform::row> read(std::string_view key) override
    {
        std::lock_guard const lock(mutex_);
        if (!is_available_ || failing_reads_-- > 0)
            return unavailable();
        return find(is_answering_old_ ? old_rows_ : rows_, key);
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
            return lost();
        for (auto const& condition : conditions) {
            if (find(rows_, condition.key).version != condition.version)
                return core::error{core::result_code::conflict, "conflict"};
        }
        for (auto const& write : writes)
            apply(write);
        if (fault == commit_fault::response_lost)
            return lost();
        return core::success();
    }

    void set_available(bool is_available) { is_available_ = is_available; }
    void set_commit_fault(commit_fault fault) { fault_ = fault; }
    void set_failing_reads(int count) { failing_reads_ = count; }

    /// From now on reads answer with the rows as they are now.
    void freeze_reads()
    {
        old_rows_ = rows_;
        is_answering_old_ = true;
    }
    void thaw_reads() { is_answering_old_ = false; }

private:
    using row_map = std::map<std::string, platform::row, std::less<>>;

    static core::error unavailable()
    {
        return {core::result_code::store_unavailable, "table is down"};
    }

    static core::error lost()
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
    row_map old_rows_;
    std::uint64_t version_ = 0;
    bool is_available_ = true;
    bool is_answering_old_ = false;
    int failing_reads_ = 0;
    commit_fault fault_ = commit_fault::none;
};

} // namespace sequoiaroute::support
