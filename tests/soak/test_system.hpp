#pragma once

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

/// A process of the system, with its own way to the store.
struct member
{
    std::string name;
    std::vector<std::string> arguments;
    std::unique_ptr<tcp_proxy> store_link;
    std::unique_ptr<store_server> store;
    bool is_running = false;
    bool is_frozen = false;
    bool is_stopping = false;
    /// Until when its answers may be broken off by a disturbance.
    core::time_point disturbed_until{};
};

/// The whole system under test: entries and agents as processes, the platform
/// and the customers in this one. Each process has an address of its
/// own on the loopback network.
class test_system
{
public:
    struct size
    {
        std::size_t entries = 3;
        std::size_t workers = 4;
    };

    static core::result<std::unique_ptr<test_system>>
    create(event::event_loop& loop, random_source& random,
           std::filesystem::path binaries, std::filesystem::path directory,
           size wanted);

    std::vector<member>& entries() { return entries_; }
    std::vector<member>& agents() { return agents_; }
    std::vector<std::unique_ptr<executor_server>>& executors()
    {
        return executors_;
    }
    std::vector<std::unique_ptr<executor_model>>& models() { return models_; }
    support::memory_row_store& store() { return store_; }
    customer_simulator& callers() { return *callers_; }
    invariant_checker& checker() { return checker_; }
    scenarios::process_set& processes() { return processes_; }

    void start(member& target);
    void kill(member& target);
    void freeze(member& target);
    void thaw(member& target);
    void terminate(member& target);

    /// Writes a new version of the configuration.
    /// @param key the key that customers use from now on
    void configure(std::string const& key);

    /// Notes that the answers of a process may be broken off now.
    void disturb(member& target);

    /// Lets time pass: ends of processes that were told to stop.
    void tick();

private:
    test_system(event::event_loop& loop, random_source& random,
                std::filesystem::path binaries,
                std::filesystem::path directory);
    core::status claim_addresses();
    core::status add_entry(std::size_t index);
    core::status add_worker(std::size_t index);
    core::status add_store_link(member& target, std::size_t index);
    std::string write_settings(std::string const& name,
                               std::string const& text) const;

    event::event_loop& loop_;
    random_source& random_;
    std::filesystem::path binaries_;
    std::filesystem::path directory_;
    core::system_clock clock_;
    support::memory_row_store store_;
    invariant_checker checker_;
    gang_board gangs_;
    scenarios::process_set processes_;
    std::vector<member> entries_;
    std::vector<member> agents_;
    std::vector<customer_simulator::entry> entry_links_;
    std::vector<std::unique_ptr<executor_model>> models_;
    std::vector<std::unique_ptr<executor_server>> executors_;
    std::unique_ptr<customer_simulator> callers_;
    std::int64_t version_ = 0;
    /// Its address is held as long as the run uses the others.
    std::unique_ptr<event::http_server> claim_;
};

} // namespace sequoiaroute::soak
