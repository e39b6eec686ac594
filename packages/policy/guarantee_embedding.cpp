#include "policy/guarantee_embedding.hpp"

#include "policy/bipartite_matching.hpp"

#include <algorithm>
#include <optional>

namespace sequoiaroute::policy {

namespace {

adjacency binding_level(canonical_embedding const& canonical)
{
    if (canonical.uses_level(adjacency::rack))
        return adjacency::rack;
    return canonical.uses_level(adjacency::data_centre) ? adjacency::data_centre
                                                        : adjacency::any;
}

} // namespace

guarantee_embedding::guarantee_embedding(canonical_embedding const& canonical,
                                         worker_topology const& topology)
    : canonical_(canonical), topology_(topology),
      must_stay_in_data_centre_(canonical.uses_level(adjacency::data_centre)),
      holdings_(topology.workers().size()), cost_(topology.workers().size())
{
    for (auto const& scope : topology.groups(binding_level(canonical))) {
        group workers;
        std::copy_if(scope.begin(), scope.end(), std::back_inserter(workers),
                     [&](std::size_t worker) {
                         return topology.workers()[worker].total.accelerators >
                                0;
                     });
        if (!workers.empty())
            groups_.push_back(std::move(workers));
    }
}

int guarantee_embedding::charged_accelerators(std::size_t worker,
                                              resources const& amount) const
{
    auto const& total = topology_.workers()[worker].total;
    auto const share = [&](int part, int whole) {
        if (whole <= 0)
            return 0;
        auto const scaled = static_cast<long>(part) * total.accelerators;
        return static_cast<int>((scaled + whole - 1) / whole);
    };
    return std::max({amount.accelerators, share(amount.cores, total.cores),
                     share(amount.memory_megabytes, total.memory_megabytes)});
}

void guarantee_embedding::charge(std::size_t customer, std::size_t worker,
                                 resources const& amount)
{
    if (topology_.workers()[worker].total.accelerators == 0)
        return;
    auto& holdings = holdings_[worker];
    auto found = std::find_if(
        holdings.begin(), holdings.end(),
        [customer](holding const& item) { return item.customer == customer; });
    if (found == holdings.end())
        found = holdings.insert(found, {customer, {}});
    found->amount = found->amount + amount;
    found->charged = charged_accelerators(worker, found->amount);
    if (found->amount == resources{})
        holdings.erase(found);
}

void guarantee_embedding::discharge(std::size_t customer, std::size_t worker,
                                    resources const& amount)
{
    charge(customer, worker, resources{} - amount);
}

int guarantee_embedding::charged_to(std::size_t worker,
                                    std::size_t customer) const
{
    for (auto const& holding : holdings_[worker]) {
        if (holding.customer == customer)
            return holding.charged;
    }
    return 0;
}

bool guarantee_embedding::is_compatible(std::size_t worker, cell_bin const& bin,
                                        bool is_strict) const
{
    auto const& view = topology_.workers()[worker];
    auto spare = view.total.accelerators - bin.accelerators;
    if (spare < 0)
        return false;
    auto idle_accelerators = bin.accelerators;
    for (auto const& holding : holdings_[worker]) {
        auto excess = holding.charged;
        for (auto const& [customer, accelerators] : bin.cells) {
            if (customer != holding.customer)
                continue;
            auto const used = std::min(accelerators, holding.charged);
            excess -= used;
            idle_accelerators -= used;
        }
        spare -= excess;
    }
    // A worker that accepts no work keeps its jobs but cannot hold unused
    // cells.
    return spare >= 0 &&
           (!is_strict || view.accepts_work || idle_accelerators == 0);
}

int guarantee_embedding::mismatch_cost(std::size_t worker,
                                       cell_bin const& bin) const
{
    int score = 0;
    for (auto const& holding : holdings_[worker]) {
        auto cells = 0;
        for (auto const& [customer, accelerators] : bin.cells) {
            if (customer == holding.customer)
                cells = accelerators;
        }
        // Usage beyond the customer's cells occupies capacity of other
        // customers, so it weighs more than unused cells.
        score += std::max(0, cells - holding.charged) +
                 64 * std::max(0, holding.charged - cells);
    }
    return score;
}

guarantee_embedding::binding
guarantee_embedding::bind_group(group const& workers, group const& bins,
                                bool is_strict) const
{
    // Workers with non-borrowing jobs are matched first, then those that are
    // cheap to free. Large bins come first, so that the costly workers remain
    // without cells.
    std::vector<std::size_t> left(workers.size());
    for (std::size_t position = 0; position < left.size(); ++position)
        left[position] = position;
    std::stable_sort(left.begin(), left.end(), [&](auto a, auto b) {
        auto const rank = [&](std::size_t position) {
            auto const worker = workers[position];
            return std::tuple(holdings_[worker].empty(),
                              topology_.workers()[worker].accepts_work,
                              cost_[worker]);
        };
        return rank(a) < rank(b);
    });
    std::vector<std::size_t> right;
    for (auto const bin : bins) {
        if (canonical_.bins()[bin].accelerators > 0)
            right.push_back(bin);
    }
    std::stable_sort(right.begin(), right.end(), [&](auto a, auto b) {
        return canonical_.bins()[a].accelerators >
               canonical_.bins()[b].accelerators;
    });
    // The remaining workers are matched to empty bins.
    static cell_bin const no_cells;
    auto const used_bins = right.size();
    auto const bin_at = [&](std::size_t bin) -> cell_bin const& {
        return bin < used_bins ? canonical_.bins()[right[bin]] : no_cells;
    };
    auto const bin_count = std::max(left.size(), used_bins);
    std::vector<std::vector<std::size_t>> preferences;
    for (auto const position : left) {
        auto const worker = workers[position];
        if (holdings_[worker].empty())
            break;
        std::vector<std::pair<int, std::size_t>> order;
        for (std::size_t bin = 0; bin < bin_count; ++bin)
            order.emplace_back(mismatch_cost(worker, bin_at(bin)), bin);
        std::sort(order.begin(), order.end());
        auto& preference = preferences.emplace_back();
        for (auto const& [score, bin] : order)
            preference.push_back(bin);
    }
    auto const partners = maximum_matching(
        left.size(), bin_count, preferences,
        [&](std::size_t worker, std::size_t bin) {
            return is_compatible(workers[left[worker]], bin_at(bin), is_strict);
        });
    binding bound(workers.size(), unmatched);
    for (std::size_t position = 0; position < left.size(); ++position) {
        auto const partner = partners[position];
        if (partner != unmatched)
            bound[left[position]] =
                partner < used_bins ? right[partner] : canonical_.bins().size();
    }
    return bound;
}

bool guarantee_embedding::is_complete(group const& workers, group const& bins,
                                      binding const& binding) const
{
    auto const used_bins =
        std::count_if(bins.begin(), bins.end(), [&](std::size_t bin) {
            return canonical_.bins()[bin].accelerators > 0;
        });
    auto const bound_bins =
        std::count_if(binding.begin(), binding.end(), [&](std::size_t bin) {
            return bin < canonical_.bins().size();
        });
    if (bound_bins < used_bins)
        return false;
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (binding[position] == unmatched)
            return false;
    }
    return true;
}

void guarantee_embedding::append_binding(group const& workers,
                                         group const& bins,
                                         binding const& binding,
                                         embedding_outcome& outcome) const
{
    auto const add_unplaced = [&](std::size_t customer, int accelerators) {
        if (accelerators <= 0)
            return;
        outcome.unplaced.push_back({customer, accelerators});
        outcome.unplaced_accelerators += accelerators;
    };
    std::vector<std::size_t> unbound_bins(bins.begin(), bins.end());
    for (std::size_t position = 0; position < workers.size(); ++position) {
        auto const worker = workers[position];
        auto const bin = binding[position];
        if (bin == unmatched) {
            for (auto const& holding : holdings_[worker])
                outcome.misplaced_accelerators += holding.charged;
            continue;
        }
        if (bin == canonical_.bins().size())
            continue;
        std::erase(unbound_bins, bin);
        for (auto const& [customer, accelerators] :
             canonical_.bins()[bin].cells) {
            auto const used =
                std::min(accelerators, charged_to(worker, customer));
            if (topology_.workers()[worker].accepts_work)
                outcome.slices.push_back(
                    {customer, worker, accelerators, used});
            else
                add_unplaced(customer, accelerators - used);
        }
    }
    for (auto const bin : unbound_bins) {
        for (auto const& [customer, accelerators] :
             canonical_.bins()[bin].cells)
            add_unplaced(customer, accelerators);
    }
}

embedding_outcome guarantee_embedding::embed() const
{
    embedding_outcome outcome;
    for (auto const& cell : canonical_.unplaced()) {
        outcome.unplaced.push_back(cell);
        outcome.unplaced_accelerators += cell.accelerators;
    }
    auto const group_count = groups_.size();
    std::vector<std::optional<binding>> bindings(group_count * group_count);
    std::vector<bool> is_possible(group_count * group_count);
    auto const partners = maximum_matching(
        group_count, group_count, {},
        [&](std::size_t workers, std::size_t bins) {
            if (must_stay_in_data_centre_ &&
                topology_.group_of(groups_[workers][0],
                                   adjacency::data_centre) !=
                    topology_.group_of(groups_[bins][0],
                                       adjacency::data_centre))
                return false;
            auto const key = workers * group_count + bins;
            if (!bindings[key]) {
                bindings[key] =
                    bind_group(groups_[workers], groups_[bins], true);
                is_possible[key] = is_complete(groups_[workers], groups_[bins],
                                               *bindings[key]);
            }
            return static_cast<bool>(is_possible[key]);
        });
    std::vector<std::size_t> unbound_groups;
    for (std::size_t bins = 0; bins < group_count; ++bins) {
        if (std::find(partners.begin(), partners.end(), bins) == partners.end())
            unbound_groups.push_back(bins);
    }
    for (std::size_t workers = 0; workers < group_count; ++workers) {
        auto bins = partners[workers];
        if (bins != unmatched) {
            append_binding(groups_[workers], groups_[bins],
                           *bindings[workers * group_count + bins], outcome);
            continue;
        }
        // No complete binding exists: binds as many cells as possible.
        bins = unbound_groups.back();
        unbound_groups.pop_back();
        append_binding(groups_[workers], groups_[bins],
                       bind_group(groups_[workers], groups_[bins], false),
                       outcome);
    }
    return outcome;
}

} // namespace sequoiaroute::policy
