#pragma once

#include "soak/fault_schedule.hpp"

namespace sequoiaroute::soak {

/// Injects faults that hit all that runs on some machines at once: little
/// processor time, loss of power, and the loss of a data centre.
class machine_fault_injector
{
public:
    /// @param random decides on the faults
    /// @param system the system under test; must outlive this object
    /// @param schedule ends the faults; must outlive this object
    machine_fault_injector(random_source& random, test_system& system,
                           fault_schedule& schedule)
        : random_(random), system_(system), schedule_(schedule)
    {
    }

    /// Injects a random fault.
    void inject();

private:
    /// Gives a third of the entries and agents little processor time for some
    /// seconds.
    void starve_processes();
    /// Lets a process run for a few milliseconds only, again and again.
    /// @param remaining for how long
    void starve(system_process& target, core::duration remaining);
    /// Ends the agent and the executor of some workers at one moment.
    void cut_power();
    /// Cuts every other worker off from the store and from the gangs of other
    /// workers, and ends some of their agents behind the cut.
    void lose_data_centre();

    random_source& random_;
    test_system& system_;
    fault_schedule& schedule_;
};

} // namespace sequoiaroute::soak
