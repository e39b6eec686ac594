#pragma once

#include "platform/table.hpp"

#include <map>
#include <mutex>

namespace sequoiaroute::support {

/// A table in memory. Versions are never reused, not even after a row was
/// deleted.
class memory_table final : public platform::table
{
public:
    core::result<platform::row> read(std::string_view key) override
    {
        std::lock_guard const lock(mutex_);
        auto const found = rows_.find(key);
        if (found == rows_.end())
            return platform::row{std::string(key), 0, nullptr};
        return found->second;
    }

    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        std::lock_guard const lock(mutex_);
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
        for (auto const& condition : conditions) {
            auto const found = rows_.find(condition.key);
            auto const version =
                found == rows_.end() ? 0 : found->second.version;
            if (version != condition.version)
                return core::error{core::result_code::conflict, condition.key};
        }
        for (auto const& write : writes) {
            if (write.value)
                rows_[write.key] = {write.key, ++last_version_, *write.value};
            else
                rows_.erase(write.key);
        }
        return core::success();
    }

private:
    std::mutex mutex_;
    std::map<std::string, platform::row, std::less<>> rows_;
    std::uint64_t last_version_ = 0;
};

} // namespace sequoiaroute::support
