#pragma once

#include "executor.hpp"
#include "http.hpp"
#include "platform_store.hpp"
#include "record.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// A small deployment: entries and agents as processes of their own, and
/// stand-ins for the store, the executors and the operator. Each machine has an
/// address of its own on the loopback network.
class deployment
{
public:
    struct worker_options
    {
        std::string rack;
        /// Whether the agent calls its executor through an address that the
        /// script serves, executor_proxy_address().
        bool has_proxy = false;
    };
    struct options
    {
        std::string binaries; ///< the folder of the two programs
        std::size_t entries = 3;
        std::vector<worker_options> workers;
    };

    /// @param record_path where the record is written
    deployment(options settings, std::string const& record_path);
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;
    /// Ends all processes.
    ~deployment();

    /// Starts the processes and the executors, and waits until all executors
    /// are acknowledged and all entries are ready.
    /// @return whether that was so in time
    bool start();

    /// Calls an entry as a customer does.
    http_result call(std::size_t entry, std::string const& method,
                     std::string const& path, std::string const& body = {});
    /// Hands a job in, at one entry after the other until it is accepted.
    /// @return whether it was accepted
    bool submit(std::string const& path, std::string const& body);
    /// @return the state of a job as some entry gives it; empty without answer
    std::string state_of(std::string const& path);

    void kill_entry(std::size_t index);
    void kill_agent(std::size_t index);
    void start_entry(std::size_t index);
    void start_agent(std::size_t index);

    executor& executor_at(std::size_t index) { return *executors_[index]; }
    store_door& agent_door(std::size_t index) { return *agent_doors_[index]; }
    std::string executor_address(std::size_t index) const;
    std::string executor_proxy_address(std::size_t index) const;
    record& log() { return log_; }
    /// @return the runs on all executors
    std::vector<run_event> all_runs();

    /// The route of urgent jobs, priority 0, and that of others, priority 1.
    static constexpr char urgent_prefix[] = "/urgent/";
    static constexpr char patient_prefix[] = "/patient/";

private:
    struct process
    {
        std::vector<std::string> arguments;
        std::string output;
        pid_t id = -1;
    };

    std::string machine(std::size_t number) const;
    std::string write_file(std::string const& name, std::string const& text);
    void spawn(process& target);
    void kill(process& target);
    void write_configuration();
    void add_entry(std::size_t index);
    void add_worker(std::size_t index);

    options options_;
    record log_;
    std::string network_; ///< the first three bytes of all addresses
    std::string folder_;
    platform_store store_;
    std::vector<process> entries_;
    std::vector<process> agents_;
    std::vector<std::unique_ptr<store_door>> entry_doors_;
    std::vector<std::unique_ptr<store_door>> agent_doors_;
    std::vector<std::unique_ptr<executor>> executors_;
};

/// Waits until a condition holds.
/// @return whether it did within the time
bool wait_until(std::int64_t limit_ms, std::function<bool()> const& condition);

void sleep_ms(std::int64_t milliseconds);

/// @return whether the script is to bring about the disruption
bool has_trouble();

} // namespace review
