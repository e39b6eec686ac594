#pragma once

#include "scheduler/open_job.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::scheduler {

/// The most orders in one change, so that a transaction holds a change whole.
constexpr std::size_t max_orders_per_change = 95;
/// The most bytes in the orders of one change.
constexpr std::size_t max_order_bytes_per_change = 400'000;

/// Collects the changes that one scheduling round makes, by job. Orders of a
/// job that do not fit in one change are divided among several. Each has the
/// progress of the job as of its orders, so that a decider that takes over
/// between two of them finds orders and progress that belong together.
class change_list
{
public:
    /// Marks a job as changed, if it is not yet, so that its progress is
    /// stored.
    /// @return the job's change; valid until the next one is added
    job_change& find_or_add(open_job const& job);

    /// Adds a new, changed or removed order of a job. The progress of the job
    /// must have the effects of its earlier orders, and not yet those of this
    /// one.
    /// @param reason for a start away from the data of its step, that it is;
    ///        for a stop, why; for a removal, how the run ended
    void add_order(open_job const& job, order_change::action_type action,
                   jobs::run_order order, std::string_view reason);

    /// Begins another change of a job unless the present one has room for some
    /// more orders. Keeps the orders of a gang in one change if they fit.
    /// @param count the number of orders
    void keep_together(open_job const& job, std::size_t count);

    /// Empties the list.
    /// @param jobs the jobs with their progress
    /// @return the changes, to be stored in this order
    std::vector<job_change> take_changes(job_map const& jobs);

private:
    /// The change to which orders of a job are added.
    struct open_change
    {
        std::size_t position = 0;    ///< in changes_
        std::size_t order_bytes = 0; ///< in the values of its orders
    };

    /// Completes the open change of a job, if there is one.
    void close_change(open_job const& job);

    std::vector<job_change> changes_;
    std::map<std::string, open_change> open_changes_; ///< by job
};

} // namespace sequoiaroute::scheduler
