#include "policy/guarantee_embedding.hpp"

#include "policy/bipartite_matching.hpp"

#include <algorithm>
#include <optional>

namespace sequoiaroute::policy {

namespace {

adjacency binding_level(canonical_cells const& canonical)
{
    if (canonical.uses_level(adjacency::rack))
        return adjacency::rack;
    return canonical.uses_level(adjacency::data_centre) ? adjacency::data_centre
                                                        : adjacency::any;
}

} // namespace

guarantee_embedding::guarantee_embedding(canonical_cells const& canonical,
                                         worker_topology const& tree)
    : canonical_(canonical), tree_(tree),
      must_stay_in_data_centre_(canonical.uses_level(adjacency::data_centre)),
      holdings_(tree.workers().size()), cost_(tree.workers().size())
{
    for (auto const& cell : tree.groups(binding_level(canonical))) {
        group workers;
        std::copy_if(cell.begin(), cell.end(), std::back_inserter(workers),
                     [&](std::size_t worker) {
                         return tree.workers()[worker].total.accelerators > 0;
                     });
        if (!workers.empty())
            groups_.push_back(std::move(workers));
    }
}

int guarantee_embedding::charged_accelerators(std::size_t worker,
                                              resources const& amount) const
{
    auto const& total = tree_.workers()[worker].total;
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
    if (tree_.workers()[worker].total.accelerators == 0)
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

int guarantee_embedding::held_in(std::size_t worker, std::size_t customer) const
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
    auto const& view = tree_.workers()[worker];
    auto spare = view.total.accelerators - bin.accelerators;
    if (spare < 0)
        return false;
    auto idle = bin.accelerators;
    for (auto const& holding : holdings_[worker]) {
        auto beyond = holding.charged;
        for (auto const& [customer, accelerators] : bin.cells) {
            if (customer != holding.customer)
                continue;
            auto const used = std::min(accelerators, holding.charged);
            beyond -= used;
            idle -= used;
        }
        spare -= beyond;
    }
    // A worker that takes no work keeps what it runs but holds no idle cell.
    return spare >= 0 && (!is_strict || view.accepts_work || idle == 0);
}

int guarantee_embedding::misfit(std::size_t worker, cell_bin const& bin) const
{
    int score = 0;
    for (auto const& holding : holdings_[worker]) {
        auto cells = 0;
        for (auto const& [customer, accelerators] : bin.cells) {
            if (customer == holding.customer)
                cells = accelerators;
        }
        // Use beyond the cells keeps room of others out of reach, so it counts
        // more than a cell that is larger than its use.
        score += std::max(0, cells - holding.charged) +
                 64 * std::max(0, holding.charged - cells);
    }
    return score;
}

guarantee_embedding::binding
guarantee_embedding::bind_group(group const& workers, group const& bins,
                                bool is_strict) const
{
    // Used workers choose first, then cheap ones; large bins are chosen first,
    // so that the costly workers are left without cells.
    std::vector<std::size_t> left(workers.size());
    for (std::size_t number = 0; number < left.size(); ++number)
        left[number] = number;
    std::stable_sort(left.begin(), left.end(), [&](auto a, auto b) {
        auto const rank = [&](std::size_t number) {
            auto const worker = workers[number];
            return std::tuple(holdings_[worker].empty(),
                              tree_.workers()[worker].accepts_work,
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
    // The rest of the workers is matched to room without cells.
    static cell_bin const no_cells;
    auto const filled = right.size();
    auto const bin_at = [&](std::size_t bin) -> cell_bin const& {
        return bin < filled ? canonical_.bins()[right[bin]] : no_cells;
    };
    auto const count = std::max(left.size(), filled);
    std::vector<std::vector<std::size_t>> preferences;
    for (auto const number : left) {
        auto const worker = workers[number];
        if (holdings_[worker].empty())
            break;
        std::vector<std::pair<int, std::size_t>> order;
        for (std::size_t bin = 0; bin < count; ++bin)
            order.emplace_back(misfit(worker, bin_at(bin)), bin);
        std::sort(order.begin(), order.end());
        auto& preference = preferences.emplace_back();
        for (auto const& [score, bin] : order)
            preference.push_back(bin);
    }
    auto const partners = maximum_matching(
        left.size(), count, preferences,
        [&](std::size_t worker, std::size_t bin) {
            return is_compatible(workers[left[worker]], bin_at(bin), is_strict);
        });
    binding bound(workers.size(), unmatched);
    for (std::size_t number = 0; number < left.size(); ++number) {
        auto const partner = partners[number];
        if (partner != unmatched)
            bound[left[number]] =
                partner < filled ? right[partner] : canonical_.bins().size();
    }
    return bound;
}

bool guarantee_embedding::is_complete(group const& workers, group const& bins,
                                      binding const& binding) const
{
    auto const filled =
        std::count_if(bins.begin(), bins.end(), [&](std::size_t bin) {
            return canonical_.bins()[bin].accelerators > 0;
        });
    auto const bound =
        std::count_if(binding.begin(), binding.end(), [&](std::size_t bin) {
            return bin < canonical_.bins().size();
        });
    if (bound < filled)
        return false;
    for (std::size_t number = 0; number < workers.size(); ++number) {
        if (binding[number] == unmatched)
            return false;
    }
    return true;
}

void guarantee_embedding::report(group const& workers, group const& bins,
                                 binding const& binding,
                                 embedding_outcome& outcome) const
{
    auto const unplace = [&](std::size_t customer, int accelerators) {
        if (accelerators <= 0)
            return;
        outcome.unplaced.push_back({customer, accelerators});
        outcome.unplaced_accelerators += accelerators;
    };
    std::vector<std::size_t> left_over(bins.begin(), bins.end());
    for (std::size_t number = 0; number < workers.size(); ++number) {
        auto const worker = workers[number];
        auto const bin = binding[number];
        if (bin == unmatched) {
            for (auto const& holding : holdings_[worker])
                outcome.misplaced_accelerators += holding.charged;
            continue;
        }
        if (bin == canonical_.bins().size())
            continue;
        std::erase(left_over, bin);
        for (auto const& [customer, accelerators] :
             canonical_.bins()[bin].cells) {
            auto const used = std::min(accelerators, held_in(worker, customer));
            if (tree_.workers()[worker].accepts_work)
                outcome.slices.push_back(
                    {customer, worker, accelerators, used});
            else
                unplace(customer, accelerators - used);
        }
    }
    for (auto const bin : left_over) {
        for (auto const& [customer, accelerators] :
             canonical_.bins()[bin].cells)
            unplace(customer, accelerators);
    }
}

embedding_outcome guarantee_embedding::embed() const
{
    embedding_outcome outcome;
    for (auto const& cell : canonical_.unplaced()) {
        outcome.unplaced.push_back(cell);
        outcome.unplaced_accelerators += cell.accelerators;
    }
    auto const count = groups_.size();
    std::vector<std::optional<binding>> tried(count * count);
    std::vector<bool> is_possible(count * count);
    auto const partners = maximum_matching(
        count, count, {}, [&](std::size_t workers, std::size_t bins) {
            if (must_stay_in_data_centre_ &&
                tree_.group_of(groups_[workers][0], adjacency::data_centre) !=
                    tree_.group_of(groups_[bins][0], adjacency::data_centre))
                return false;
            auto const key = workers * count + bins;
            if (!tried[key]) {
                tried[key] = bind_group(groups_[workers], groups_[bins], true);
                is_possible[key] =
                    is_complete(groups_[workers], groups_[bins], *tried[key]);
            }
            return static_cast<bool>(is_possible[key]);
        });
    std::vector<std::size_t> left_over;
    for (std::size_t bins = 0; bins < count; ++bins) {
        if (std::find(partners.begin(), partners.end(), bins) == partners.end())
            left_over.push_back(bins);
    }
    for (std::size_t workers = 0; workers < count; ++workers) {
        auto bins = partners[workers];
        if (bins != unmatched) {
            report(groups_[workers], groups_[bins],
                   *tried[workers * count + bins], outcome);
            continue;
        }
        // Workers are missing: binds as many cells as possible.
        bins = left_over.back();
        left_over.pop_back();
        report(groups_[workers], groups_[bins],
               bind_group(groups_[workers], groups_[bins], false), outcome);
    }
    return outcome;
}

} // namespace sequoiaroute::policy
