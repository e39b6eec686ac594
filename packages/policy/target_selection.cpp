#include "policy/target_selection.hpp"

#include <algorithm>
#include <utility>

#include <absl/random/random.h>

namespace sequoiaroute::policy {

target_selection::target_selection(std::string data_centre)
    : data_centre_(std::move(data_centre))
{
}

bool target_selection::accepts(executor_view const& executor,
                               std::string_view service)
{
    return executor.service == service && !executor.is_leaving &&
           !executor.is_suspect;
}

std::vector<std::size_t>
target_selection::candidates(std::span<executor_view const> executors,
                             std::string_view service,
                             std::span<std::string const> excluded) const
{
    std::vector<std::size_t> same_data_centre;
    std::vector<std::size_t> other_data_centres;
    for (std::size_t index = 0; index < executors.size(); ++index) {
        auto const& executor = executors[index];
        if (!accepts(executor, service) || executor.free_slots <= 0)
            continue;
        if (std::ranges::find(excluded, executor.target_id) != excluded.end())
            continue;
        (executor.data_centre == data_centre_ ? same_data_centre
                                              : other_data_centres)
            .push_back(index);
    }
    return same_data_centre.empty() ? other_data_centres : same_data_centre;
}

std::optional<std::size_t> target_selection::select(
    std::span<executor_view const> executors, std::string_view service,
    std::span<std::string const> excluded, absl::BitGenRef random) const
{
    auto const found = candidates(executors, service, excluded);
    if (found.empty())
        return std::nullopt;
    if (found.size() == 1)
        return found.front();
    auto const first = absl::Uniform<std::size_t>(random, 0, found.size());
    auto const offset = absl::Uniform<std::size_t>(random, 1, found.size());
    auto const second = (first + offset) % found.size();
    auto const is_first_better = executors[found[first]].free_slots >=
                                 executors[found[second]].free_slots;
    return found[is_first_better ? first : second];
}

} // namespace sequoiaroute::policy
