#include "targets/rules_keepers.hpp"

#include "core/identifier.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::targets {

namespace {

/// Bounds the load: 50 KB of rules once a minute are below 1 KB/s per agent.
constexpr core::duration resend_period = std::chrono::seconds(60);

} // namespace

rules_keepers::rules_keepers(std::string entry_id, std::size_t count)
    : entry_id_(std::move(entry_id)), count_(count)
{
}

void rules_keepers::select(std::vector<std::string> const& target_ids)
{
    std::vector<std::pair<std::string, std::string>> ranked;
    ranked.reserve(target_ids.size());
    for (auto const& id : target_ids)
        ranked.emplace_back(core::digest(entry_id_ + "/" + id), id);
    auto const count = std::min(count_, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    std::lock_guard const lock(mutex_);
    std::map<std::string, sent_copy, std::less<>> keepers;
    for (std::size_t i = 0; i < count; ++i) {
        auto const& id = ranked[i].second;
        auto const known = keepers_.find(id);
        keepers[id] = known == keepers_.end() ? sent_copy{} : known->second;
    }
    keepers_ = std::move(keepers);
}

bool rules_keepers::mark_sent_if_due(std::string_view target_id,
                                     std::string_view incarnation,
                                     std::uint64_t generation,
                                     core::time_point now)
{
    std::lock_guard const lock(mutex_);
    auto const keeper = keepers_.find(target_id);
    if (keeper == keepers_.end() || generation == 0)
        return false;
    auto& copy = keeper->second;
    bool const is_current = copy.incarnation == incarnation &&
                            copy.generation == generation &&
                            now - copy.sent_at < resend_period;
    if (!is_current)
        copy = {std::string(incarnation), generation, now};
    return !is_current;
}

std::vector<std::string> rules_keepers::keepers() const
{
    std::lock_guard const lock(mutex_);
    std::vector<std::string> ids;
    for (auto const& [id, copy] : keepers_)
        ids.push_back(id);
    return ids;
}

} // namespace sequoiaroute::targets
