#pragma once

#include "jobs/lease_timing.hpp"
#include "scenarios/process_set.hpp"
#include "soak/customer_simulator.hpp"
#include "soak/executor_server.hpp"
#include "soak/store_server.hpp"
#include "soak/tcp_proxy.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// An entry or agent process. It reaches the store through a proxy and a server
/// of its own, so that faults can hit it alone.
struct system_process
{
    std::string name;
    std::vector<std::string> arguments; ///< the program, then its arguments
    std::unique_ptr<tcp_proxy> store_proxy;
    std::unique_ptr<store_server> store;
    bool is_running = false;
    bool is_frozen = false;
    bool is_waiting_for_turn = false; ///< stopped by the processor limiter
    bool is_stopping = false;
    /// Until when a fault may cause its responses to break off.
    core::time_point broken_responses_allowed_until{};
};

/// The system under test: entries and agents run as processes; this process
/// simulates the store, the executors and the customers. Each process has its
/// own address on the loopback network.
class test_system
{
public:
    struct options
    {
        std::size_t entries = 3;
        std::size_t workers = 4;
        /// The longest lease of runs that executors grant.
        core::duration max_lease{2000};
        /// The longest time that executors take to stop a run.
        core::duration max_stop_time{300};
    };

    /// Starts the processes and everything that they connect to.
    /// @param loop serves all sockets and timers
    /// @param random decides on the behaviour that is left to chance
    /// @param binaries the build directory
    /// @param directory where settings and logs are written
    /// @param settings how many processes there are, and their leases
    /// @return the system, or the reason why it cannot be started
    static core::result<std::unique_ptr<test_system>>
    create(event::event_loop& loop, random_source& random,
           std::filesystem::path binaries, std::filesystem::path directory,
           options settings);

    std::vector<system_process>& entries() { return entries_; }
    std::vector<system_process>& agents() { return agents_; }
    std::vector<std::unique_ptr<executor_server>>& executor_servers()
    {
        return executor_servers_;
    }
    std::vector<std::unique_ptr<executor_model>>& executor_models()
    {
        return executor_models_;
    }
    support::memory_row_store& store() { return store_; }
    /// @return the lease timing that the processes are configured for
    jobs::lease_timing timing() const;

    /// Requests that no task starts in a data centre.
    void evacuate(std::string const& data_centre);

    /// Withdraws that request.
    void end_evacuation(std::string const& data_centre);
    /// @return the entry that holds the lease in the store; nullptr if none
    system_process* decider();
    customer_simulator& customers() { return *customers_; }
    invariant_checker& checker() { return checker_; }
    scenarios::process_set& processes() { return processes_; }

    void start(system_process& target);
    /// Sends SIGKILL; does nothing if the process isn't running.
    void kill(system_process& target);
    /// Sends SIGSTOP, unless the process is waiting for its turn.
    void freeze(system_process& target);
    /// Sends SIGCONT, unless the process is waiting for its turn.
    void thaw(system_process& target);
    /// Stops a process until its next turn on the processor, or begins this
    /// turn. A frozen process stays stopped until it is thawed. Responses must
    /// not break off because of this.
    void set_waiting_for_turn(system_process& target, bool is_waiting);
    /// Starts a graceful stop (SIGTERM), unless the process is frozen. tick()
    /// detects its end. A process that is waiting for its turn receives the
    /// signal when the turn begins.
    void terminate(system_process& target);

    /// Writes a new version of the rules to the store.
    /// @param key the only valid customer key from now on
    void write_rules(std::string const& key);

    /// Sets the faults of the store towards a process.
    void set_store_faults(system_process& target, store_faults const& faults);

    /// Cuts a worker off from the store and from the other members of its
    /// gangs, or ends that. Its agent and its executor run on.
    /// @param index its position in agents()
    void set_worker_cut_off(std::size_t index, bool is_cut_off);

    /// Allows a process to break off responses for a while, because a fault has
    /// begun or ended.
    void expect_broken_responses(system_process& target);

    /// Updates the state of the processes. Must be called periodically.
    void tick();

private:
    test_system(event::event_loop& loop, random_source& random,
                std::filesystem::path binaries, std::filesystem::path directory,
                options settings);
    /// Chooses a range of addresses that no other run on this machine uses.
    core::status claim_addresses();
    core::status add_entry(std::size_t index);
    core::status add_worker(std::size_t index);
    core::status add_store_proxy(system_process& target, std::size_t index);
    /// @return the path of the settings file
    std::string write_settings(std::string const& name,
                               std::string const& text) const;

    event::event_loop& loop_;
    random_source& random_;
    std::filesystem::path binaries_;
    std::filesystem::path directory_;
    options options_;
    core::system_clock clock_;
    support::memory_row_store store_;
    invariant_checker checker_;
    gang_registry gangs_;
    scenarios::process_set processes_;
    std::vector<system_process> entries_;
    std::vector<system_process> agents_;
    /// Where the customers reach each entry, in the order of entries_.
    std::vector<customer_simulator::entry> entry_endpoints_;
    std::vector<std::unique_ptr<executor_model>> executor_models_;
    std::vector<std::unique_ptr<executor_server>> executor_servers_;
    std::unique_ptr<customer_simulator> customers_;
    std::int64_t rules_version_ = 0;
    /// Listens on one address of the range, so that other runs do not choose
    /// the same range.
    event::connection_pool connections_{{}};
    std::unique_ptr<event::http_server> address_claim_;
};

} // namespace sequoiaroute::soak
