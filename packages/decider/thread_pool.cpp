#include "decider/thread_pool.hpp"

namespace sequoiaroute::decider {

thread_pool::thread_pool(std::size_t thread_count)
{
    for (std::size_t index = 0; index < thread_count; ++index)
        threads_.emplace_back([this] { run(); });
}

thread_pool::~thread_pool()
{
    stop();
}

void thread_pool::post(std::function<void()> task)
{
    {
        std::lock_guard const lock(mutex_);
        if (is_stopping_)
            return;
        tasks_.push_back(std::move(task));
    }
    changed_.notify_one();
}

void thread_pool::stop()
{
    {
        std::lock_guard const lock(mutex_);
        is_stopping_ = true;
        tasks_.clear();
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void thread_pool::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [&] { return is_stopping_ || !tasks_.empty(); });
        if (is_stopping_)
            return;
        auto const task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace sequoiaroute::decider
