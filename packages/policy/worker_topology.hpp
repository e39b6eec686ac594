#pragma once

#include "policy/scheduling.hpp"

#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Groups the workers of the fleet by level: single worker, rack, data centre
/// and the whole fleet. It refers to the workers, which must outlive it.
class worker_topology
{
public:
    using group = std::vector<std::size_t>; ///< worker indices

    explicit worker_topology(std::span<worker_view const> workers);

    std::span<worker_view const> workers() const { return workers_; }

    /// @return the groups of a level; adjacency::any has a single group, the
    ///         fleet
    std::span<group const> groups(adjacency level) const;

    /// @param worker a worker index
    /// @param level the level of the group
    /// @return the index in groups(level) of the group that contains the worker
    std::size_t group_of(std::size_t worker, adjacency level) const;

    /// @return how many groups of a level have only free accelerators; groups
    ///         without accelerators, or with a worker that accepts no work, are
    ///         not counted
    int count_free_groups(adjacency level,
                          std::span<resources const> free) const;

    /// @param within the level whose groups are compared
    /// @param free the free resources of each worker
    /// @return the largest number of free accelerators in one group
    int largest_free_block(adjacency within,
                           std::span<resources const> free) const;

    /// @param shapes pending jobs, and guaranteed shapes as jobs
    /// @param free the free resources of each worker
    /// @return how many free accelerators no shape can use, because they are
    ///         scattered or lack free processors or memory
    int stranded_accelerators(std::span<job_view const> shapes,
                              std::span<resources const> free) const;

    /// @return one job per guaranteed shape, with one accelerator per member.
    ///         Each member also needs processors and memory in proportion,
    ///         rounded down: the smallest amounts per accelerator of any
    ///         worker.
    std::vector<job_view> guarantees_as_jobs(rule_set const& rules) const;

private:
    std::span<worker_view const> workers_;
    std::vector<group> worker_groups_;
    std::vector<group> rack_groups_;
    std::vector<group> data_centre_groups_;
    std::vector<group> fleet_;
    std::vector<std::size_t> rack_of_;
    std::vector<std::size_t> data_centre_of_;
};

resources operator+(resources const& left, resources const& right);
resources operator-(resources const& left, resources const& right);
resources operator*(resources const& amount, int count);

} // namespace sequoiaroute::policy
