#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sequoiaroute::core {

/// Runs callbacks periodically on a small thread pool. Callbacks of one
/// subscription never overlap. A callback that blocks for long delays those of
/// other subscriptions.
class timer_service
{
public:
    /// Unsubscribes on destruction, which waits for a running callback to
    /// return. Must not be destroyed by its own callback, and not after the
    /// service.
    class subscription
    {
    public:
        subscription(timer_service& service, std::uint64_t id)
            : service_(service), id_(id)
        {
        }
        subscription(subscription const&) = delete;
        subscription& operator=(subscription const&) = delete;
        ~subscription() { service_.unsubscribe(id_); }

    private:
        timer_service& service_;
        std::uint64_t id_;
    };

    /// @param thread_count the number of threads that run callbacks
    explicit timer_service(std::size_t thread_count = 2);
    timer_service(timer_service const&) = delete;
    timer_service& operator=(timer_service const&) = delete;
    ~timer_service();

    /// Calls a function periodically until the subscription is destroyed.
    /// @param period the time until the first call, and between the starts of
    ///        two calls; calls that are missed are skipped
    /// @param callback the function to call
    /// @return the subscription
    [[nodiscard]] std::unique_ptr<subscription>
    subscribe(duration period, std::function<void()> callback);

private:
    struct subscriber
    {
        duration period;
        time_point due_at;
        bool is_running = false;
        bool is_unsubscribed = false;
        std::function<void()> callback;
    };

    /// Waits for a running callback to return, then removes the subscriber.
    void unsubscribe(std::uint64_t id);
    /// Runs due callbacks until the service is destroyed; one per thread.
    void run();
    /// @return the subscriber whose call is due first, without those that are
    ///         running or unsubscribed; the end if there is none
    std::map<std::uint64_t, subscriber>::iterator find_next_due();

    system_clock clock_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    std::map<std::uint64_t, subscriber> subscribers_;
    std::uint64_t next_id_ = 1;
    bool is_stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace sequoiaroute::core
