#pragma once

#include "support/memory_table.hpp"

#include <atomic>
#include <functional>
#include <utility>

namespace sequoiaroute::support {

/// A table in memory that a test can make unavailable, or that loses responses
/// to commits.
class unreliable_table final : public platform::table
{
public:
    core::result<platform::row> read(std::string_view key) override
    {
        if (is_down)
            return unavailable();
        return rows_.read(key);
    }

    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        if (is_down)
            return unavailable();
        return rows_.scan(prefix);
    }

    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        if (is_down)
            return unavailable();
        if (auto const action = std::exchange(before_commit, nullptr))
            action();
        auto outcome = rows_.commit(conditions, writes);
        if (responses_to_lose > 0 && responses_to_lose-- > 0)
            return core::error{core::result_code::write_unknown, "lost"};
        return outcome;
    }

    std::atomic<bool> is_down{false};
    /// How many of the next commits are processed, but return write_unknown.
    std::atomic<int> responses_to_lose{0};
    /// Called once, before the next commit is applied.
    std::function<void()> before_commit;

private:
    static core::error unavailable()
    {
        return {core::result_code::store_unavailable, "the table is down"};
    }

    support::memory_table rows_;
};

} // namespace sequoiaroute::support
