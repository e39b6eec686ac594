#pragma once

#include "event/timer_service.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"
#include "scheduler/commit_queue.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sequoiaroute::scheduler {

/// Takes part in the election of the decider for one entry: observes the lease
/// row, and claims the lease if it is vacant or has not been renewed in time.
class lease_candidate
{
public:
    /// A lease that has been acquired.
    struct acquisition
    {
        lease_record lease;
        rows::row_version version = rows::no_row; ///< of the lease row
    };

    /// @param store the store
    /// @param timers the clock
    /// @param work replica of the work table, which contains the lease
    /// @param node the name of this process, which identifies it as the holder
    /// @param address IP:PORT on which this process receives notices
    /// @param on_acquired called when the lease has been acquired
    lease_candidate(rows::row_store& store, event::timer_service& timers,
                    rows::table_replica const& work, std::string node,
                    std::string address,
                    std::function<void(acquisition)> on_acquired);

    /// Begins to measure how long the lease has not been renewed.
    void start() { changed_at_ = timers_.now(); }

    /// Handles a change of the lease row. Claims the lease if it is vacant.
    void observe(rows::row const& changed);

    /// Claims the lease if it is vacant or has expired; to be called often.
    void check();

    /// Claims the lease from its present holder without waiting for its expiry.
    void take_over();

    /// Takes part again after a lease that was held has been lost.
    void rejoin();

    /// Makes no further claims.
    void stop() { is_stopped_ = true; }

    /// @return the lease as last observed
    lease_record const& observed() const { return observed_; }

private:
    lease_record read(rows::row const& changed) const;
    /// @return whether the lease can be claimed without waiting
    bool is_vacant() const;
    /// @param is_expiry_required whether to claim the lease only if it has
    ///        expired; if not, it is claimed from its present holder
    void reread_and_claim(bool is_expiry_required);
    /// Claims the lease. Fails if its row has changed from the observed
    /// version.
    void claim();
    void handle_result(rows::commit_result const& result);
    void acquire(rows::row_version version);

    rows::row_store& store_;
    event::timer_service& timers_;
    rows::table_replica const& work_;
    std::string node_;
    std::string address_;
    std::function<void(acquisition)> on_acquired_;

    lease_record observed_;
    rows::row_version observed_version_ = rows::no_row;
    core::time_point changed_at_{}; ///< when the last change was observed
    /// The lease to write; empty without an attempt to acquire it.
    std::optional<lease_record> claim_;
    /// The version of the lease row that the claim replaces.
    rows::row_version claim_base_version_ = rows::no_row;
    std::string previous_holder_;   ///< of the claimed lease
    bool is_claim_pending_ = false; ///< a claim is in flight
    bool is_rereading_ = false;     ///< a read of the lease row is in flight
    bool is_holder_ = false;
    bool is_stopped_ = false;
    /// Lets callbacks of the store detect that this object is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
