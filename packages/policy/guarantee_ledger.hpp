#pragma once

#include "policy/best_fit_search.hpp"
#include "policy/guarantee_embedding.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Keeps account of the guarantees during a scheduling round: what running and
/// newly placed non-borrowing jobs hold, and where the rest of each customer's
/// cells can be had.
class guarantee_ledger
{
public:
    using members = best_fit_search::members;

    /// @param cluster the fleet and its running jobs
    /// @param tree the cells of the fleet
    guarantee_ledger(cluster_view const& cluster, worker_topology const& tree);

    /// @return the customer's index, or canonical_cells::no_customer
    std::size_t customer_index(job_view const& job) const;

    /// @return whether the job's customer has that much guarantee left,
    /// wherever
    ///         it may lie
    bool has_guarantee_left(job_view const& job) const;

    /// Sets what is lost if the borrowing jobs of each worker are stopped.
    void set_cost(std::vector<double> cost);

    /// Charges a job as not borrowing, unless some guarantee were then lost.
    /// @param job the job
    /// @param members the workers of its members
    /// @return whether it was charged
    bool charge(job_view const& job, std::span<std::size_t const> members);

    /// @param job a job of a customer with a guarantee
    /// @param fit searches the room
    /// @return workers where the customer's own cells hold the job
    std::optional<members> fit_in_guarantee(job_view const& job,
                                            best_fit_search& fit) const;

    /// Tells whether a job that may not be stopped could run on an idle fleet.
    bool could_take_when_idle(job_view const& job, best_fit_search& fit) const;

private:
    cluster_view const& cluster_;
    worker_topology const& tree_;
    canonical_cells canonical_;
    guarantee_embedding embedding_;
    embedding_outcome outcome_;
    std::vector<int> charged_; ///< accelerators held, by customer
};

} // namespace sequoiaroute::policy
