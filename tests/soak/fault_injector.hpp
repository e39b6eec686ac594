#pragma once

#include "soak/executor_fault_injector.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/machine_fault_injector.hpp"
#include "soak/process_fault_injector.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

/// Injects random faults into a system under test and ends each after a random
/// time. Faults can overlap.
class fault_injector
{
public:
    /// Which faults are injected.
    enum class selection
    {
        all, ///< those that this class chooses itself
        /// The store is silent for all processes, again and again, and works
        /// for a second or two in between.
        store_outages,
        /// Agents lose the store for about as long as their leases last. When
        /// they return, the store drops its history and serves stale reads.
        stale_reads,
        /// Workers lose the store and the other workers while they run on, and
        /// others fail runs or crash meanwhile.
        cut_off_workers,
        executors, ///< those of executor_fault_injector
        processes, ///< those of process_fault_injector
        machines,  ///< those of machine_fault_injector
        mixed,     ///< all, executors and processes
        /// One of two data centres is evacuated again and again, beside all.
        evacuations,
    };

    /// @param loop runs the timers
    /// @param random decides on the faults and their times
    /// @param system the system under test; must outlive this object
    /// @param selected which faults to inject
    fault_injector(event::event_loop& loop, random_source& random,
                   test_system& system, selection selected);

    /// Injects faults at random intervals until heal().
    void start();

    /// Ends all faults and starts the processes that are not running. No more
    /// faults follow.
    void heal();

    /// @return how many faults of each kind were injected
    std::map<std::string, std::size_t> const& counts() const
    {
        return schedule_.counts();
    }

private:
    /// Injects a fault of the selection.
    void inject_selected_fault();
    void inject_fault();
    /// Begins an outage of the store, and schedules the next one.
    void begin_store_outage();
    /// Cuts some agents off from the store, makes its reads stale around their
    /// return, and schedules the next time.
    void begin_stale_reads();
    /// Cuts some workers off, disturbs others, and schedules the next time.
    void begin_worker_cuts();
    /// Evacuates a data centre, and schedules the next time.
    void begin_evacuation();
    /// Cuts a worker off from the store and from the other workers.
    void cut_off_worker(std::size_t index);
    /// Makes a worker fail runs or crash, which breaks its gangs.
    void break_gangs_of(std::size_t index);
    /// Changes the faults of the store for one process, or for all.
    /// @param only the process; nullptr for all
    void set_store_faults(system_process const* only,
                          std::function<void(store_faults&)> const& change);
    /// Makes the store fail for one process or for all.
    void inject_store_fault();
    /// Disturbs the connections of one process to the store.
    void inject_link_fault();
    void inject_process_fault();
    void inject_executor_fault();
    /// Writes new rules, which replace the customers' key.
    void change_rules();
    /// @return a random entry or agent
    system_process& pick_process();

    event::event_loop& loop_;
    random_source& random_;
    test_system& system_;
    selection selected_;
    bool is_healed_ = false;
    std::size_t key_number_ = 1; ///< of the newest customer key
    fault_schedule schedule_;
    executor_fault_injector executor_faults_;
    process_fault_injector process_faults_;
    machine_fault_injector machine_faults_;
    std::unique_ptr<event::timer> next_fault_timer_;
    std::unique_ptr<event::timer> next_evacuation_timer_;
};

} // namespace sequoiaroute::soak
