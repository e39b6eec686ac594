#pragma once

#include "policy/canonical_cells.hpp"

#include <vector>

namespace sequoiaroute::policy {

/// The cells of one customer on one worker.
struct cell_slice
{
    std::size_t customer = 0;
    std::size_t worker = 0;
    int accelerators = 0;
    int used = 0; ///< of these, held by the customer's non-borrowing jobs
};

/// Where the guaranteed cells lie, given what non-borrowing jobs hold.
struct embedding_outcome
{
    std::vector<cell_slice> slices;
    std::vector<unplaced_cell> unplaced;
    int unplaced_accelerators = 0;
    /// Accelerators of workers whose non-borrowing jobs match no cells.
    int misplaced_accelerators = 0;
};

/// Binds the guaranteed cells of all customers to workers. The canonical
/// embedding is bound by a matching of its workers, within matched racks or
/// data centres if cells span these, to the workers of the fleet, such that
/// each non-borrowing job lies in cells of its customer or in room that no
/// guarantee needs. Jobs that end only add possible pairs to the matching, so
/// a binding that exists is never lost by it; a greedy binding per round lost
/// cells in this way. An accelerator of a cell brings its share of the
/// processors and memory of its worker, so a job that takes more of these is
/// charged more accelerators than it holds. As long as all cells are bound,
/// each can be emptied by stopping borrowing jobs only.
class guarantee_embedding
{
public:
    guarantee_embedding(canonical_cells const& canonical,
                        worker_topology const& tree);

    /// @param cost for each worker, how much work is lost if its borrowing
    ///        jobs are stopped; cells are bound to cheap workers first
    void set_cost(std::vector<double> cost) { cost_ = std::move(cost); }

    /// Adds resources that a non-borrowing job holds.
    /// @param customer its customer, or canonical_cells::no_customer
    void charge(std::size_t customer, std::size_t worker,
                resources const& amount);

    /// Takes back a charge.
    void discharge(std::size_t customer, std::size_t worker,
                   resources const& amount);

    /// @return the binding
    embedding_outcome embed() const;

private:
    using group = worker_topology::group;
    using binding = std::vector<std::size_t>; ///< bin of each worker, by group

    struct holding
    {
        std::size_t customer;
        resources amount;
        int charged = 0; ///< accelerators
    };

    int charged_accelerators(std::size_t worker, resources const& amount) const;
    int held_in(std::size_t worker, std::size_t customer) const;
    bool is_compatible(std::size_t worker, cell_bin const& bin,
                       bool is_strict) const;
    int misfit(std::size_t worker, cell_bin const& bin) const;
    binding bind_group(group const& workers, group const& bins,
                       bool is_strict) const;
    void report(group const& workers, group const& bins, binding const& binding,
                embedding_outcome& outcome) const;
    bool is_complete(group const& workers, group const& bins,
                     binding const& binding) const;

    canonical_cells const& canonical_;
    worker_topology const& tree_;
    std::vector<group> groups_; ///< of workers that have accelerators
    bool must_stay_in_data_centre_ = false;
    std::vector<std::vector<holding>> holdings_; ///< by worker
    std::vector<double> cost_;
};

} // namespace sequoiaroute::policy
