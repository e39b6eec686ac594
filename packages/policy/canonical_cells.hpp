#pragma once

#include "policy/worker_topology.hpp"

#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

/// A guaranteed cell for which the fleet has no room.
struct unplaced_cell
{
    std::size_t customer = 0;
    int accelerators = 0;
    adjacency within = adjacency::worker;
};

/// The guaranteed cells that share one worker.
struct cell_bin
{
    std::vector<std::pair<std::size_t, int>> cells; ///< customer, accelerators
    int accelerators = 0;
};

/// One fixed embedding of all guaranteed cells in the whole fleet, which
/// depends on rules and fleet only.
class canonical_cells
{
public:
    static constexpr auto no_customer = static_cast<std::size_t>(-1);

    canonical_cells(rule_set const& rules, worker_topology const& tree);

    /// @return the index of a customer that has guarantees, or no_customer
    std::size_t customer_index(std::string_view customer) const;

    /// @return the name of a customer
    std::string_view customer_name(std::size_t customer) const;

    /// @return the sum of a customer's cells
    int guaranteed_accelerators(std::size_t customer) const;

    /// @return the cells on each worker
    std::span<cell_bin const> bins() const { return bins_; }

    /// @return the cells that found no room
    std::span<unplaced_cell const> unplaced() const { return unplaced_; }

    /// @return whether a cell lies within a level
    bool uses_level(adjacency level) const;

private:
    using order = std::vector<unplaced_cell>;

    void place_all(order const& cells);
    bool place(unplaced_cell const& cell);
    void put(std::size_t customer, std::size_t worker, int accelerators);

    worker_topology const& tree_;
    std::vector<std::pair<std::string_view, int>> customers_;
    absl::flat_hash_map<std::string_view, std::size_t> index_;
    order cells_;
    std::vector<int> capacity_;
    std::vector<cell_bin> bins_;
    std::vector<unplaced_cell> unplaced_;
};

} // namespace sequoiaroute::policy
