#pragma once

#include "http.hpp"
#include "record.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// What a task does, as the payload of its job says in words such as
/// "ms=500 gang=2 fails=1 failing_runs=1".
struct task_behaviour
{
    std::int64_t run_ms = 0; ///< 0: it runs until it is stopped
    int gang_size = 0;       ///< 0: it runs alone
    int failing_index = -1;  ///< the member that fails; -1: none, -2: all
    std::int64_t failing_runs = 1'000'000; ///< later runs do not fail
};

/// One run of a task, as the executors saw it.
struct run_entry
{
    std::string task;
    std::int64_t run = 0;
    std::size_t executor = 0;
    std::string payload;
    std::int64_t started_ms = 0;
    std::optional<std::int64_t> ended_ms;
    std::string how; ///< empty while it runs
    /// When AckedUpto reached its end.
    std::optional<std::int64_t> noted_ms;
    /// The executor's lease lapsed between the end and its acknowledgement.
    bool has_lapsed_before_note = false;
};

/// The executors of a deployment, which know the gangs of each other. They
/// answer and run as the platform's pages say.
class executors
{
public:
    struct options
    {
        std::int64_t hold_max_ms = 6000;
        std::int64_t gang_ms = 3000;
        std::int64_t stop_ms = 400; ///< how long a stop takes
        std::int64_t heartbeat_ms = 1500;
        std::int64_t cores = 128;
        std::int64_t accelerators = 8;
        /// The kind of the first executor; the others are of kind "a".
        std::string first_kind = "a";
        std::string service;
    };

    executors(record& output, options settings)
        : record_(output), options_(std::move(settings))
    {
    }

    /// Starts an executor.
    /// @param ip its address, which is also that of its agent
    /// @param port where it takes orders
    /// @param control_port where its agent takes heartbeats
    void start(std::string const& ip, std::uint16_t port,
               std::uint16_t control_port);

    /// Calls a function, from a thread of an executor, when a run begins.
    void on_start(std::function<void(run_entry const&)> callback)
    {
        on_start_ = std::move(callback);
    }

    /// @return all runs so far
    std::vector<run_entry> runs();

    /// @return the id of an executor
    std::string id_of(std::size_t executor);

    /// @return the IP address of an executor
    std::string ip_of(std::size_t executor);

private:
    struct active_run
    {
        std::size_t entry = 0; ///< index in runs_
        task_behaviour behaviour;
        std::int64_t working_since = -1; ///< -1 until it works
        std::int64_t stops_at = -1;      ///< -1 unless a stop was ordered
    };

    struct listed_end
    {
        std::int64_t number = 0;
        std::size_t entry = 0; ///< index in runs_
        std::int64_t lapses = 0;
    };

    struct executor
    {
        std::string ip;
        std::uint16_t port = 0;
        std::uint16_t control_port = 0;
        std::string id;
        std::int64_t born_ms = 0;
        std::int64_t started_ms = 0;
        std::int64_t sequence = 0;
        std::int64_t lease_end_ms = 0; ///< on its own clock
        std::int64_t lapses = 0;       ///< how often the lease has lapsed
        bool holds_lease = false;
        std::map<std::string, active_run> running; ///< by task
        std::map<std::string, std::int64_t> highest_ended_run;
        std::vector<listed_end> ended;
        std::int64_t last_number = 0;
    };

    http_message handle(std::size_t index, http_message const& request);
    http_message start_run(std::size_t index, http_message const& request);
    http_message stop_run(std::size_t index, http_message const& request);
    http_message hold(std::size_t index, http_message const& request);
    void extend_lease(executor& target, std::int64_t deadline_ms);
    void end_run(std::size_t index, std::string const& task,
                 std::string const& how);
    void send_heartbeats(std::size_t index);
    void advance();
    void advance_gangs();
    void advance_single_runs();
    static std::int64_t clock_of(executor const& target)
    {
        return now_ms() - target.started_ms;
    }

    record& record_;
    options options_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::vector<std::unique_ptr<executor>> executors_;
    std::vector<run_entry> runs_;
    std::function<void(run_entry const&)> on_start_;
    bool is_advancing_ = false;
};

/// Checks the rule TWICE as written.
/// @return the offences, in words; empty if the rule held
std::vector<std::string> check_twice(std::vector<run_entry> const& runs);

/// Checks the rule BUDGET as written, for tasks without copies.
/// @param max_attempts the limit of the queue
/// @return the offences, in words; empty if the rule held
std::vector<std::string> check_budget(std::vector<run_entry> const& runs,
                                      int max_attempts);

} // namespace review
