#pragma once

#include "core/counters.hpp"
#include "decider/attempt_observer.hpp"
#include "decider/fleet_state.hpp"
#include "policy/scheduling.hpp"

#include <mutex>
#include <string>

namespace sequoiaroute::decider {

/// Passes the events of attempts to the policy, the fleet state and the
/// counters. Also serialises all calls to the policy, which is not thread-safe.
class attempt_recorder final : public attempt_observer
{
public:
    /// @param fleet tracks resource usage and quarantined workers
    /// @param directory the known workers
    /// @param placement the policy
    /// @param clock the clock of this process
    /// @param counters counts ended attempts and jobs by the state that follows
    attempt_recorder(fleet_state& fleet, targets::target_directory& directory,
                     policy::placement_policy& placement,
                     core::clock const& clock, core::counters& counters);

    /// Runs the policy for one scheduling round.
    /// @param cluster the fleet, the jobs and the rules
    /// @return the decision of the policy
    policy::decision decide(policy::cluster_view const& cluster);

    void on_worker_changed(std::string const& worker_id) override;
    void on_reservation_refused(std::string const& worker_id) override;
    void on_release_unconfirmed(std::string const& worker_id,
                                policy::resources const& reserved) override;
    void on_member_failed(policy::job_record const& record,
                          std::string const& worker_id) override;
    void on_end(job_data const& data, policy::job_record const& next) override;

private:
    fleet_state& fleet_;
    targets::target_directory& directory_;
    policy::placement_policy& placement_;
    core::clock const& clock_;
    core::counters& counters_;
    std::mutex policy_mutex_; ///< guards placement_
};

} // namespace sequoiaroute::decider
