#pragma once

#include "scenarios/process_set.hpp"

#include <cstddef>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::clients {

/// The programs that serve clients.
enum class program
{
    entry, ///< sequoiaroute schedule
    agent, ///< sequoiaroute-agent --store_orders
};

/// A program that runs by itself on loopback addresses, without a store.
class tested_process
{
public:
    /// Starts the program and waits until all its ports answer.
    /// @param tested_program the program
    /// @param descriptor_limit the largest number of descriptors that it may
    ///        have; 0 for that of this process
    /// @throws std::runtime_error if it does not start
    tested_process(program tested_program, std::size_t descriptor_limit);
    tested_process(tested_process const&) = delete;
    tested_process& operator=(tested_process const&) = delete;
    ~tested_process();

    /// @param port the name of a port, such as "customers"
    /// @return its address IP:PORT
    std::string const& address(std::string const& port) const;

    /// @return the names of all ports
    std::vector<std::string> ports() const;

    /// @return whether the process has not ended
    bool is_running();

    /// @return the most memory that was resident so far, in bytes
    std::size_t peak_memory() const;

    /// @return the number of descriptors that are open now
    std::size_t open_descriptors() const;

    /// Waits until the process has dealt with what it received, that is, until
    /// it uses hardly any processor time; 30 s at most.
    void wait_until_idle() const;

    /// Sends one request on a new connection.
    /// @return whether a response arrived, of any status
    bool answers_ordinary_request(std::string const& port) const;

    /// Ends the process by SIGTERM.
    /// @return its exit status
    /// @throws std::runtime_error if it does not end
    int stop();

private:
    std::filesystem::path directory_;
    std::vector<std::pair<std::string, std::string>> addresses_; ///< by port
    scenarios::process_set processes_;
};

} // namespace sequoiaroute::clients
