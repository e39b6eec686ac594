#pragma once

#include "policy/best_fit_search.hpp"
#include "policy/guarantee_embedding.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Tracks the guarantees during a scheduling round: which resources running and
/// newly placed non-borrowing jobs hold, and on which workers the unused cells
/// of each customer are.
class guarantee_ledger
{
public:
    using members = best_fit_search::members;

    /// @param cluster the fleet and its running jobs
    /// @param topology the topology of the fleet
    guarantee_ledger(cluster_view const& cluster,
                     worker_topology const& topology);

    /// @return the customer's index, or canonical_embedding::no_customer
    std::size_t customer_index(job_view const& job) const;

    /// @return whether the unused guarantee of the job's customer has enough
    ///         accelerators for the job, on whichever workers
    bool fits_remaining_guarantee(job_view const& job) const;

    /// Sets the work that is lost if the borrowing jobs of a worker are
    /// stopped, by worker. Guaranteed cells are assigned to cheap workers
    /// first.
    void set_eviction_cost(std::vector<double> cost);

    /// Charges a job as non-borrowing, unless a guarantee could no longer be
    /// met then.
    /// @param job the job
    /// @param members the workers of its members
    /// @return whether the job was charged
    bool charge(job_view const& job, std::span<std::size_t const> members);

    /// Searches the unused cells of the job's customer. They may be occupied by
    /// borrowing jobs.
    /// @param job a job of a customer that has a guarantee
    /// @param fit the search to use
    /// @return the workers, or nothing unless all members fit
    std::optional<members> fit_in_guarantee(job_view const& job,
                                            best_fit_search& fit) const;

    /// @return whether a job that cannot be evicted could run on an idle fleet
    ///         and leave all guarantees intact; true if it currently fits
    ///         nowhere, because more workers may accept work later
    bool fits_unguaranteed_when_idle(job_view const& job,
                                     best_fit_search& fit) const;

private:
    cluster_view const& cluster_;
    worker_topology const& topology_;
    canonical_embedding canonical_;
    guarantee_embedding embedding_;
    embedding_outcome outcome_;
    std::vector<int> charged_accelerators_; ///< by customer
};

} // namespace sequoiaroute::policy
