#pragma once

#include "executors.hpp"
#include "platform_store.hpp"
#include "record.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/// A queue of the configuration.
struct queue
{
    std::string prefix; ///< such as "/proofs/"
    int priority = 1;
    int max_attempts = 2;
};

/// A small deployment on loopback addresses: the stand-in of the store,
/// entries, agents and their executors. Each machine has a loopback address of
/// its own, and the ports are the same on all machines. The threads of the
/// stand-ins use it until the process ends, so it is not destroyed before.
class deployment
{
public:
    struct options
    {
        std::size_t entries = 3;
        std::size_t agents = 11;
        executors::options workers;
        std::vector<queue> queues;
    };

    deployment(record& output, options settings);
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Ends all processes that it started.
    void stop();

    /// Starts everything and waits until all entries are ready.
    /// @return whether they were ready in time
    bool start();

    /// Takes the second key of the customer away, or adds it again, with a new
    /// configuration.
    void set_second_key(bool is_valid);

    /// Sends a job once, with the second key, to one entry.
    /// @return the status of the answer; 0 if there was none
    int submit_once(std::size_t entry, std::string const& prefix,
                    std::string const& job, std::string const& body);

    /// @return the entry that registered last in the store
    std::size_t newest_entry();

    /// Turns an entry away from the store, while others are served.
    void set_entry_refused(std::size_t entry, bool is_refused);

    /// Submits a job and retries as a client does.
    /// @return the status of the last answer
    int submit(std::string const& prefix, std::string const& job,
               std::string const& body);

    /// @return the state of a job; "unknown" with the status if it has none
    std::string state_of(std::string const& prefix, std::string const& job);

    /// @return the number of the entry that decides, as its row in the store
    ///         names it
    std::size_t deciding_entry();

    void kill_entry(std::size_t entry);
    void restart_entry(std::size_t entry);
    void signal_entry(std::size_t entry, int signal_number);
    /// Sends a signal to the agent beside an executor.
    void signal_agent(std::size_t agent, int signal_number);

    platform_store& store() { return store_; }
    executors& workers() { return workers_; }
    std::uint16_t control_port() const { return control_port_; }

private:
    void start_entry(std::size_t entry);
    void start_agent(std::size_t agent);
    pid_t run_program(std::vector<std::string> const& command,
                      std::string const& log_name);
    std::string ip(int group, std::size_t machine) const;
    std::string write_settings(std::string const& name,
                               std::string const& text);
    http_message call_entry(std::string const& method, std::string const& path,
                            std::string const& body);

    record& record_;
    options options_;
    platform_store store_;
    executors workers_;
    std::string folder_;
    std::string network_; ///< the first two numbers of the addresses
    std::uint16_t first_port_ = 0;
    std::uint16_t control_port_ = 0;
    std::uint64_t configuration_version_ = 3;
    std::size_t next_entry_ = 0;
    std::vector<pid_t> entries_;
    std::vector<pid_t> agents_;
};

/// Waits until a condition holds.
/// @return whether it did within the time
bool wait_until(std::int64_t time_ms, std::function<bool()> const& condition);

inline void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace review
