#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::core {

/// A hash map from texts to values, divided into shards that have a lock each,
/// so that threads seldom wait for one another. The functions passed to it must
/// not call it, since they run under a lock.
/// @tparam Value the type of the values
/// @tparam ShardCount the number of shards
template <class Value, std::size_t ShardCount = 16>
class sharded_map
{
public:
    using shard = absl::flat_hash_map<std::string, Value>;

    /// Calls a function with the shard of a key, under the lock of the shard.
    /// @param key determines the shard
    /// @param function called with a reference to the shard
    /// @return the result of the function
    template <class Function>
    auto with_shard(std::string_view key, Function&& function)
    {
        auto& locked_shard =
            shards_[std::hash<std::string_view>{}(key) % ShardCount];
        std::lock_guard const lock(locked_shard.mutex);
        return std::forward<Function>(function)(locked_shard.values);
    }

    /// Calls a function with each shard in turn, under the lock of that shard.
    /// @param function called with a reference to the shard
    template <class Function>
    void for_each_shard(Function&& function)
    {
        for (auto& locked_shard : shards_) {
            std::lock_guard const lock(locked_shard.mutex);
            function(locked_shard.values);
        }
    }

private:
    struct locked_shard
    {
        std::mutex mutex;
        shard values;
    };

    std::array<locked_shard, ShardCount> shards_;
};

} // namespace sequoiaroute::core
