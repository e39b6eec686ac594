#pragma once

#include "policy/worker_topology.hpp"

#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

/// A guaranteed cell that is not assigned to workers.
struct unplaced_cell
{
    std::size_t customer = 0; ///< customer index
    int accelerators = 0;
    adjacency within = adjacency::worker;
};

/// The parts of guaranteed cells that are assigned to one worker.
struct cell_bin
{
    std::vector<std::pair<std::size_t, int>> cells; ///< customer, accelerators
    int accelerators = 0;                           ///< sum over the cells
};

/// An embedding of all guaranteed cells in the fleet, which assigns the
/// accelerators of each cell to workers. Running jobs are ignored, so it
/// depends on the rules and the fleet only. It refers to both, which must
/// outlive it.
class canonical_embedding
{
public:
    static constexpr auto no_customer = static_cast<std::size_t>(-1);

    canonical_embedding(rule_set const& rules, worker_topology const& topology);

    /// @return the index of a customer that has guarantees, or no_customer
    std::size_t customer_index(std::string_view customer) const;

    /// @param customer the index of a customer
    std::string_view customer_name(std::size_t customer) const;

    /// @return the accelerators in all cells of a customer, 0 for no_customer
    int guaranteed_accelerators(std::size_t customer) const;

    /// @return the assigned cells, by worker
    std::span<cell_bin const> bins() const { return bins_; }

    /// @return the cells that do not fit
    std::span<unplaced_cell const> unplaced() const { return unplaced_; }

    /// @return whether a cell is guaranteed within this level
    bool uses_level(adjacency level) const;

private:
    using cell_list = std::vector<unplaced_cell>;

    /// Assigns the cells in the given order, starting from an empty fleet.
    void place_all(cell_list const& cells);
    /// Assigns a cell to the group with the least sufficient capacity.
    /// @return whether a group had enough
    bool place_cell(unplaced_cell const& cell);
    void add_to_bin(std::size_t customer, std::size_t worker, int accelerators);

    worker_topology const& topology_;
    /// Name and guaranteed accelerators, by customer index.
    std::vector<std::pair<std::string_view, int>> customers_;
    absl::flat_hash_map<std::string_view, std::size_t> index_by_customer_;
    cell_list cells_;
    std::vector<int> capacity_; ///< unassigned accelerators, by worker
    std::vector<cell_bin> bins_;
    std::vector<unplaced_cell> unplaced_;
};

} // namespace sequoiaroute::policy
