#include "core/timer_service.hpp"

#include <algorithm>

namespace sequoiaroute::core {

timer_service::timer_service(std::size_t thread_count)
{
    for (std::size_t index = 0; index < thread_count; ++index)
        threads_.emplace_back([this] { run(); });
}

timer_service::~timer_service()
{
    {
        std::lock_guard const lock(mutex_);
        is_stopping_ = true;
    }
    state_changed_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

std::unique_ptr<timer_service::subscription>
timer_service::subscribe(duration period, std::function<void()> callback)
{
    std::lock_guard const lock(mutex_);
    auto const id = next_id_++;
    subscribers_.emplace(id, subscriber{period, clock_.now() + period, false,
                                        false, std::move(callback)});
    state_changed_.notify_all();
    return std::make_unique<subscription>(*this, id);
}

void timer_service::unsubscribe(std::uint64_t id)
{
    std::unique_lock lock(mutex_);
    auto const found = subscribers_.find(id);
    // Prevents further calls. A subscription that is always due would otherwise
    // be called again each time before this thread acquires the lock.
    found->second.is_unsubscribed = true;
    state_changed_.wait(lock, [&] { return !found->second.is_running; });
    subscribers_.erase(found);
}

std::map<std::uint64_t, timer_service::subscriber>::iterator
timer_service::find_next_due()
{
    auto earliest = subscribers_.end();
    for (auto current = subscribers_.begin(); current != subscribers_.end();
         ++current) {
        if (current->second.is_running || current->second.is_unsubscribed)
            continue;
        if (earliest == subscribers_.end() ||
            current->second.due_at < earliest->second.due_at)
            earliest = current;
    }
    return earliest;
}

void timer_service::run()
{
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        auto const next = find_next_due();
        if (next == subscribers_.end()) {
            state_changed_.wait(lock);
            continue;
        }
        auto const due_at = next->second.due_at;
        if (auto const now = clock_.now(); now < due_at) {
            state_changed_.wait_for(lock, due_at - now);
            continue;
        }
        auto& subscriber = next->second;
        subscriber.is_running = true;
        // Missed calls are skipped rather than made up in a burst.
        subscriber.due_at = std::max(due_at + subscriber.period, clock_.now());
        lock.unlock();
        subscriber.callback();
        lock.lock();
        subscriber.is_running = false;
        state_changed_.notify_all();
    }
}

} // namespace sequoiaroute::core
