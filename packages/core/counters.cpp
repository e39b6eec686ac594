#include "core/counters.hpp"

namespace sequoiaroute::core {

std::atomic<std::int64_t>& counters::counter(std::string_view name)
{
    std::lock_guard const lock(mutex_);
    auto const found = counters_.find(name);
    if (found != counters_.end())
        return found->second;
    return counters_.try_emplace(std::string(name), 0).first->second;
}

std::map<std::string, std::int64_t> counters::values() const
{
    std::lock_guard const lock(mutex_);
    std::map<std::string, std::int64_t> values;
    for (auto const& [name, count] : counters_)
        values.emplace(name, count.load());
    return values;
}

} // namespace sequoiaroute::core
