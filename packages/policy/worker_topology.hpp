#pragma once

#include "policy/scheduling.hpp"

#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// The fleet as a hierarchy of cells: accelerator, worker, rack, data centre
/// and the whole fleet. It refers to the workers, which must outlive it.
class worker_topology
{
public:
    using group = std::vector<std::size_t>; ///< worker indices

    explicit worker_topology(std::span<worker_view const> workers);

    std::span<worker_view const> workers() const { return workers_; }

    /// @param level a level of the hierarchy
    /// @return the cells of the level, as lists of worker indices
    std::span<group const> groups(adjacency level) const;

    /// @param worker a worker index
    /// @param level a level of the hierarchy
    /// @return the index of the cell in groups(level) that holds the worker
    std::size_t group_of(std::size_t worker, adjacency level) const;

    /// Counts the cells of a level whose accelerators are all free. Cells
    /// without accelerators and workers that take no work do not count.
    int free_cells(adjacency level, std::span<resources const> free) const;

    /// @param within the level inside which the accelerators must lie
    /// @param free the free resources of each worker
    /// @return the most free accelerators inside one cell of the level
    int largest_free_block(adjacency within,
                           std::span<resources const> free) const;

    /// Counts the free accelerators that no shape can use, be it because they
    /// are too scattered or because processors or memory are used up.
    /// @param shapes pending jobs, and guaranteed shapes as jobs
    /// @param free the free resources of each worker
    int stranded_accelerators(std::span<job_view const> shapes,
                              std::span<resources const> free) const;

    /// Expresses the guaranteed shapes as jobs. Each accelerator brings its
    /// proportional share of processors and memory, rounded down, taken from
    /// the worker with the smallest share.
    std::vector<job_view> guarantees_as_jobs(rule_set const& rules) const;

private:
    std::span<worker_view const> workers_;
    std::vector<group> by_worker_;
    std::vector<group> by_rack_;
    std::vector<group> by_data_centre_;
    std::vector<group> whole_;
    std::vector<std::size_t> rack_of_;
    std::vector<std::size_t> data_centre_of_;
};

/// @return the sum of two amounts
resources operator+(resources const& left, resources const& right);

/// @return the difference of two amounts
resources operator-(resources const& left, resources const& right);

/// @return an amount, count times
resources operator*(resources const& amount, int count);

} // namespace sequoiaroute::policy
