#pragma once

#include "policy/canonical_embedding.hpp"

#include <vector>

namespace sequoiaroute::policy {

/// Guaranteed accelerators of one customer on one worker.
struct cell_slice
{
    std::size_t customer = 0;
    std::size_t worker = 0;
    int accelerators = 0;
    int used = 0; ///< charged to the customer's non-borrowing jobs
};

/// The assignment of guaranteed cells to workers.
struct embedding_outcome
{
    std::vector<cell_slice> slices; ///< on workers that accept work
    std::vector<unplaced_cell> unplaced;
    int unplaced_accelerators = 0;
    /// Accelerators charged to non-borrowing jobs on workers that could not be
    /// bound.
    int misplaced_accelerators = 0;
};

/// Binds the guaranteed cells of all customers to workers, given the resources
/// that non-borrowing jobs hold.
///
/// The bins of the canonical embedding are matched to the workers of the fleet,
/// such that each non-borrowing job uses cells of its customer or capacity that
/// no guarantee needs. If cells span racks or data centres, these are matched
/// first. While all cells are bound, each can be freed by stopping borrowing
/// jobs only. When a job ends, the matching only gains possible pairs, so a
/// complete binding stays possible; a greedy binding in each round lost cells
/// when jobs ended.
///
/// Each accelerator of a cell comes with a proportional share of the processors
/// and memory of its worker. A job that uses more of these is charged more
/// accelerators than it holds.
class guarantee_embedding
{
public:
    guarantee_embedding(canonical_embedding const& canonical,
                        worker_topology const& topology);

    /// @param cost the work that is lost if the borrowing jobs of a worker are
    ///        stopped, by worker; cells are bound to cheap workers first
    void set_eviction_cost(std::vector<double> cost)
    {
        cost_ = std::move(cost);
    }

    /// Adds resources that a non-borrowing job holds on a worker.
    /// @param customer its customer, or canonical_embedding::no_customer
    /// @param worker a worker index
    /// @param amount the resources
    void charge(std::size_t customer, std::size_t worker,
                resources const& amount);

    /// Reverts a charge.
    void discharge(std::size_t customer, std::size_t worker,
                   resources const& amount);

    /// @return the assignment for the current charges and costs
    embedding_outcome embed() const;

private:
    using group = worker_topology::group;
    /// Bin index of each worker in a group; unmatched if the worker could not
    /// be bound, the number of bins if it is bound to no cells.
    using binding = std::vector<std::size_t>;

    /// Resources of a customer's non-borrowing jobs on a worker.
    struct holding
    {
        std::size_t customer;
        resources amount;
        int charged = 0; ///< accelerators
    };

    /// @return the accelerators of a worker that an amount uses or renders
    ///         unusable through its share of processors and memory, rounded up
    int charged_accelerators(std::size_t worker, resources const& amount) const;
    /// @return the accelerators charged to a customer on a worker
    int charged_to(std::size_t worker, std::size_t customer) const;
    /// @param is_strict whether a worker that accepts no work may only hold
    ///        cells that are in use
    /// @return whether the worker fits the bin and its non-borrowing jobs
    bool is_compatible(std::size_t worker, cell_bin const& bin,
                       bool is_strict) const;
    /// @return how badly the holdings on a worker match the cells of a bin
    int mismatch_cost(std::size_t worker, cell_bin const& bin) const;
    /// Matches the workers of a group to bins.
    /// @param workers the workers
    /// @param bins indices of the bins
    /// @param is_strict as for is_compatible()
    binding bind_group(group const& workers, group const& bins,
                       bool is_strict) const;
    /// Adds the slices and unplaced cells of a binding to the outcome.
    void append_binding(group const& workers, group const& bins,
                        binding const& binding,
                        embedding_outcome& outcome) const;
    /// @return whether all bins with cells and all workers are bound
    bool is_complete(group const& workers, group const& bins,
                     binding const& binding) const;

    canonical_embedding const& canonical_;
    worker_topology const& topology_;
    /// Workers with accelerators, by the narrowest scope wider than a worker
    /// that some cell requires.
    std::vector<group> groups_;
    /// Whether some cell is guaranteed within a data centre; groups are then
    /// matched only to groups of the same data centre.
    bool must_stay_in_data_centre_ = false;
    std::vector<std::vector<holding>> holdings_; ///< by worker
    std::vector<double> cost_;                   ///< by worker
};

} // namespace sequoiaroute::policy
