#pragma once

#include "http.hpp"
#include "record.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// A run as an executor has carried it out.
struct run_event
{
    std::string task;
    std::int64_t run = 0;
    std::string executor; ///< the id of the incarnation
    std::int64_t began_at = 0;
    std::int64_t ended_at = 0; ///< 0 while it runs
    std::string how;           ///< empty while it runs
    std::int64_t number = 0;   ///< of its end
    /// The end is taken note of: AckedUpto has reached it, and the lease has
    /// not lapsed before.
    bool is_noted = false;
};

/// An executor as the pages describe it. The Spec of a task is the time that
/// it works, in milliseconds.
class executor
{
public:
    struct options
    {
        std::string address; ///< IP:PORT on which it is called
        std::string control; ///< IP:PORT for heartbeats
        std::string service;
        std::string zone;
        std::string rack;
        std::int64_t cpu = 128'000;
        std::int64_t memory_mb = 524'288;
        std::int64_t gpus = 8;
        std::int64_t hold_max_ms = 6000;
        std::int64_t stop_ms = 300;
    };

    executor(options settings, record& log);
    executor(executor const&) = delete;
    executor& operator=(executor const&) = delete;
    ~executor();

    /// Starts an incarnation; it knows nothing of those before.
    void begin(std::string const& id);
    /// Ends at once, as in a crash. New connections are refused.
    void crash();
    /// Ends at once and for good, without a sign: its connections stay open and
    /// silent, and new ones as well.
    void go_dark();
    /// Says that it drains, and leaves some time after that is acknowledged.
    void drain(std::int64_t remaining_ms);

    /// @return whether the executor has left after it drained
    bool has_left() const { return has_left_; }
    /// @return whether a heartbeat of this incarnation was acknowledged
    bool is_acknowledged() const { return is_acknowledged_; }
    /// @return all runs of all incarnations
    std::vector<run_event> runs();
    /// @return how many runs of a task are at work
    std::size_t running_count();
    std::string const& address() const { return options_.address; }

private:
    struct listed_end
    {
        std::int64_t number = 0;
        std::size_t event = 0; ///< index in events_
        bool has_lapsed = false;
    };
    struct active_run
    {
        std::size_t event = 0;
        std::int64_t ends_at = 0;
        std::int64_t stops_at = 0; ///< 0 unless it was ordered to stop
    };

    std::optional<http_response> serve(http_request const& request);
    http_response start(nlohmann::json const& call);
    http_response stop(nlohmann::json const& call);
    std::optional<http_response> hold(nlohmann::json const& call,
                                      std::unique_lock<std::mutex>& lock);
    http_response make_reply(int status, nlohmann::json body) const;
    void extend_lease(nlohmann::json const& call);
    void end(std::string const& task, std::string const& how);
    void end_all_runs();
    void work();
    void send_heartbeats();
    std::string describe();
    std::int64_t clock() const;

    options options_;
    record& log_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::unique_ptr<http_server> server_;
    std::vector<run_event> events_;
    std::map<std::string, active_run> running_;
    std::map<std::string, std::int64_t> refused_; ///< highest run, by task
    std::vector<listed_end> ends_;
    std::string id_;
    std::int64_t born_ms_ = 0;
    std::int64_t began_at_ = 0;
    std::int64_t deadline_ = 0; ///< of the lease, by its own clock
    std::int64_t last_number_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t leaves_at_ = 0;
    std::int64_t remaining_ms_ = 0;
    std::atomic<bool> is_up_{false};
    std::atomic<bool> is_dark_{false};
    std::atomic<bool> is_draining_{false};
    std::atomic<bool> has_left_{false};
    std::atomic<bool> is_acknowledged_{false};
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_heartbeat_due_{false};
    std::thread worker_;
    std::thread heart_;
};

} // namespace review
