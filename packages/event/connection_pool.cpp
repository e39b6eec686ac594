#include "event/connection_pool.hpp"

#include "core/event_log.hpp"

#include <algorithm>

namespace sequoiaroute::event {

namespace {

std::string_view name(connection_phase phase)
{
    switch (phase) {
    case connection_phase::idle:
        return "idle";
    case connection_phase::receiving:
        return "receiving";
    case connection_phase::handling:
        return "handling";
    case connection_phase::responding:
        return "responding";
    }
    return "";
}

} // namespace

bool connection_pool::add(pooled_connection& added)
{
    if (entries_.size() >= limits_.connections) {
        auto const victim = longest_waiting();
        if (victim == entries_.end()) {
            core::log_event("connection_refused",
                            {{"reason", "too many connections"}});
            return false;
        }
        evict(victim, "too many connections");
    }
    entries_.push_back({&added, connection_phase::idle, 0});
    index_[&added] = std::prev(entries_.end());
    return true;
}

void connection_pool::remove(pooled_connection& removed)
{
    auto const found = index_.find(&removed);
    if (found == index_.end())
        return;
    held_bytes_ -= found->second->held_bytes;
    entries_.erase(found->second);
    index_.erase(found);
}

bool connection_pool::update(pooled_connection& updated, connection_phase phase,
                             std::size_t held_bytes)
{
    auto const position = index_.at(&updated);
    held_bytes_ = held_bytes_ - position->held_bytes + held_bytes;
    position->phase = phase;
    position->held_bytes = held_bytes;
    entries_.splice(entries_.end(), entries_, position);
    while (held_bytes_ > limits_.buffered_bytes) {
        auto const victim = largest();
        if (victim == entries_.end() || victim->connection == &updated)
            return false;
        evict(victim, "too much memory held");
    }
    return true;
}

connection_pool::entry_list::iterator connection_pool::longest_waiting()
{
    auto const is_idle = [](entry const& candidate) {
        return candidate.phase == connection_phase::idle;
    };
    auto const is_waiting = [](entry const& candidate) {
        return candidate.phase != connection_phase::handling;
    };
    auto const idle = std::find_if(entries_.begin(), entries_.end(), is_idle);
    if (idle != entries_.end())
        return idle;
    return std::find_if(entries_.begin(), entries_.end(), is_waiting);
}

connection_pool::entry_list::iterator connection_pool::largest()
{
    auto result = entries_.end();
    for (auto current = entries_.begin(); current != entries_.end();
         ++current) {
        if (current->phase == connection_phase::handling)
            continue;
        if (result == entries_.end() ||
            current->held_bytes > result->held_bytes)
            result = current;
    }
    return result;
}

void connection_pool::evict(entry_list::iterator victim, char const* reason)
{
    core::log_event(
        "connection_evicted",
        {{"reason", std::string(reason)},
         {"phase", std::string(name(victim->phase))},
         {"held_bytes", static_cast<std::int64_t>(victim->held_bytes)}});
    auto& connection = *victim->connection;
    remove(connection);
    connection.evict();
}

} // namespace sequoiaroute::event
