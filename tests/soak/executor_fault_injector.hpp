#pragma once

#include "soak/fault_schedule.hpp"

namespace sequoiaroute::soak {

/// Injects faults of executors and of the paths to their agents.
class executor_fault_injector
{
public:
    /// @param random decides on the faults
    /// @param system the system under test; must outlive this object
    /// @param schedule ends the faults; must outlive this object
    executor_fault_injector(random_source& random, test_system& system,
                            fault_schedule& schedule)
        : random_(random), system_(system), schedule_(schedule)
    {
    }

    /// Injects a random fault into a random executor.
    void inject();

    /// Ends all faults of all executors.
    void heal();

private:
    /// An executor that is to be hit.
    struct target
    {
        executor_server& server;
        executor_model& model;
    };

    void lose_path(target const& hit);
    /// Restarts an executor under its id while its agent cannot reach it.
    void restart_behind_cut(target const& hit);
    /// Restarts an executor several times. The path returns for a moment after
    /// each, so that its agent adopts the incarnation, but may not see how the
    /// runs of those before it end.
    void restart_in_series(target const& hit);
    void restart_at_once(target const& hit);
    /// Decides how a restarted executor is identified.
    executor_model::succession pick_succession();
    void refuse_orders(target const& hit);
    void execute_late(target const& hit);
    void delay_heartbeats(target const& hit);
    /// Drains an executor whose deregistration does not arrive as usual.
    void leave(target const& hit);
    void stop_slowly(target const& hit);
    void fail_runs(target const& hit);
    core::duration pick_duration();

    random_source& random_;
    test_system& system_;
    fault_schedule& schedule_;
};

} // namespace sequoiaroute::soak
