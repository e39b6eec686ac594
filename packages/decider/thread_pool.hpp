#pragma once

#include "decider/task_runner.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace sequoiaroute::decider {

/// Starts tasks in the order of posting on a fixed number of threads.
/// Thread-safe, except that stop() and the destructor must not overlap.
class thread_pool final : public task_runner
{
public:
    /// @param thread_count how many tasks run concurrently
    explicit thread_pool(std::size_t thread_count);
    thread_pool(thread_pool const&) = delete;
    thread_pool& operator=(thread_pool const&) = delete;
    ~thread_pool() override;

    void post(std::function<void()> task) override;

    /// Waits for the running tasks and ends the threads. Queued tasks are
    /// dropped; the next decider resumes their jobs from the table. Must not be
    /// called from a task.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    bool is_stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace sequoiaroute::decider
