#include "policy/canonical_embedding.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

canonical_embedding::canonical_embedding(rule_set const& rules,
                                         worker_topology const& topology)
    : topology_(topology)
{
    for (auto const& [name, rule] : rules.customers) {
        if (rule.guarantees.empty())
            continue;
        auto const customer = customers_.size();
        index_by_customer_.emplace(name, customer);
        customers_.emplace_back(name, 0);
        for (auto const& shape : rule.guarantees) {
            auto const count =
                static_cast<std::size_t>(std::max(0, shape.cells));
            customers_.back().second +=
                shape.cells * shape.accelerators_per_cell;
            cells_.insert(
                cells_.end(), count,
                {customer, shape.accelerators_per_cell, shape.within});
        }
    }
    // No single greedy order finds an embedding for all mixes of shapes, so
    // several are tried.
    auto const by_size = [](auto const& left, auto const& right) {
        return std::tuple(-left.accelerators, right.within) <
               std::tuple(-right.accelerators, left.within);
    };
    auto const by_level = [](auto const& left, auto const& right) {
        return std::tuple(right.within, -left.accelerators) <
               std::tuple(left.within, -right.accelerators);
    };
    auto const by_group_first = [](auto const& left, auto const& right) {
        auto const rank = [](auto const& cell) {
            return std::tuple(cell.within == adjacency::worker,
                              -cell.accelerators);
        };
        return rank(left) < rank(right);
    };
    std::stable_sort(cells_.begin(), cells_.end(), by_size);
    place_all(cells_);
    if (unplaced_.empty())
        return;
    auto alternative = *this;
    std::stable_sort(cells_.begin(), cells_.end(), by_level);
    place_all(cells_);
    if (unplaced_.empty())
        return;
    std::stable_sort(cells_.begin(), cells_.end(), by_group_first);
    place_all(cells_);
    if (!unplaced_.empty()) {
        bins_ = std::move(alternative.bins_);
        unplaced_ = std::move(alternative.unplaced_);
    }
}

std::size_t canonical_embedding::customer_index(std::string_view name) const
{
    auto const found = index_by_customer_.find(name);
    return found == index_by_customer_.end() ? no_customer : found->second;
}

std::string_view canonical_embedding::customer_name(std::size_t index) const
{
    return customers_[index].first;
}

int canonical_embedding::guaranteed_accelerators(std::size_t index) const
{
    return index == no_customer ? 0 : customers_[index].second;
}

bool canonical_embedding::uses_level(adjacency level) const
{
    return std::any_of(cells_.begin(), cells_.end(), [level](auto const& cell) {
        return cell.within == level;
    });
}

void canonical_embedding::place_all(cell_list const& cells)
{
    auto const workers = topology_.workers();
    bins_.assign(workers.size(), {});
    unplaced_.clear();
    capacity_.clear();
    for (auto const& worker : workers)
        capacity_.push_back(worker.total.accelerators);
    for (auto const& cell : cells) {
        if (!place_cell(cell))
            unplaced_.push_back(cell);
    }
}

bool canonical_embedding::place_cell(unplaced_cell const& cell)
{
    worker_topology::group const* best = nullptr;
    int best_available = 0;
    for (auto const& group : topology_.groups(cell.within)) {
        int available = 0;
        for (auto const worker : group)
            available += capacity_[worker];
        if (available >= cell.accelerators &&
            (best == nullptr || available < best_available)) {
            best = &group;
            best_available = available;
        }
    }
    if (best == nullptr)
        return false;
    auto remaining = cell.accelerators;
    auto order = *best;
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
        return capacity_[left] > capacity_[right];
    });
    for (auto const worker : order) {
        auto const accelerators = std::min(remaining, capacity_[worker]);
        if (accelerators <= 0)
            break;
        add_to_bin(cell.customer, worker, accelerators);
        remaining -= accelerators;
    }
    return true;
}

void canonical_embedding::add_to_bin(std::size_t customer, std::size_t worker,
                                     int accelerators)
{
    auto& bin = bins_[worker];
    bin.accelerators += accelerators;
    capacity_[worker] -= accelerators;
    for (auto& [owner, amount] : bin.cells) {
        if (owner == customer) {
            amount += accelerators;
            return;
        }
    }
    bin.cells.emplace_back(customer, accelerators);
}

} // namespace sequoiaroute::policy
