#include "policy/gang_fit.hpp"

#include <algorithm>
#include <limits>
#include <map>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

int units_that_fit(int available, int need)
{
    return need <= 0 ? std::numeric_limits<int>::max()
                     : std::max(0, available) / need;
}

std::string group_name(worker_view const& worker, adjacency within)
{
    switch (within) {
    case adjacency::any:
        return {};
    case adjacency::data_centre:
        return worker.data_centre;
    case adjacency::rack:
        return worker.data_centre + '/' + worker.rack;
    case adjacency::worker:
        return worker.worker_id;
    }
    return {};
}

bool is_avoided(job_view const& job, worker_view const& worker)
{
    auto const& avoided = job.avoided_workers;
    return std::find(avoided.begin(), avoided.end(), worker.worker_id) !=
           avoided.end();
}

std::optional<std::vector<std::size_t>>
find_in(job_view const& job, std::span<worker_view const> workers,
        std::span<resources const> available,
        std::span<std::size_t const> allowed)
{
    std::map<std::string, std::vector<std::size_t>> members_by_group;
    auto const member_count =
        static_cast<std::size_t>(std::max(1, job.members));
    for (auto const index : allowed) {
        auto& members =
            members_by_group[group_name(workers[index], job.within)];
        auto count = members_that_fit(available[index], job.member);
        while (count-- > 0 && members.size() < member_count)
            members.push_back(index);
        if (members.size() == member_count)
            return members;
    }
    return std::nullopt;
}

} // namespace

std::string_view describe_scope(adjacency within)
{
    switch (within) {
    case adjacency::any:
        return "the fleet";
    case adjacency::data_centre:
        return "one data centre";
    case adjacency::rack:
        return "one rack";
    case adjacency::worker:
        return "one worker";
    }
    return "the fleet";
}

int members_that_fit(resources const& available, resources const& need)
{
    return std::min(
        {units_that_fit(available.cores, need.cores),
         units_that_fit(available.memory_megabytes, need.memory_megabytes),
         units_that_fit(available.accelerators, need.accelerators)});
}

std::optional<std::vector<std::size_t>>
find_first_fit(job_view const& job, std::span<worker_view const> workers,
               std::span<resources const> free)
{
    std::vector<std::size_t> all;
    std::vector<std::size_t> preferred;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!workers[index].accepts_work)
            continue;
        all.push_back(index);
        if (!is_avoided(job, workers[index]))
            preferred.push_back(index);
    }
    if (auto members = find_in(job, workers, free, preferred))
        return members;
    return find_in(job, workers, free, all);
}

std::optional<std::string>
infeasibility_reason(job_view const& job, std::span<worker_view const> workers)
{
    std::vector<resources> totals;
    std::vector<std::size_t> all;
    for (auto const& worker : workers) {
        all.push_back(all.size());
        totals.push_back(worker.total);
    }
    if (find_in(job, workers, totals, all))
        return std::nullopt;
    return fmt::format(
        "needs {} member(s) of {} cores, {} MB and {} accelerators within {}; "
        "no part of the fleet of {} workers is that large",
        job.members, job.member.cores, job.member.memory_megabytes,
        job.member.accelerators, describe_scope(job.within), workers.size());
}

std::string describe_need(job_view const& job)
{
    auto const accelerators = job.member.accelerators * job.members;
    if (accelerators > 0) {
        bool const is_adjacent =
            accelerators > 1 && job.within != adjacency::any;
        return fmt::format("{} {}accelerator{}", accelerators,
                           is_adjacent ? "adjacent " : "",
                           accelerators == 1 ? "" : "s");
    }
    return fmt::format("{} cores", job.member.cores * job.members);
}

} // namespace sequoiaroute::policy
