#include "soak/process_fault_injector.hpp"

#include "rows/row_layout.hpp"

#include <algorithm>
#include <array>

namespace sequoiaroute::soak {

namespace {

/// How far a fault ends before or after a time limit.
constexpr core::duration limit_margin{400};
constexpr core::duration min_fault_duration{300};
constexpr core::duration max_fault_duration{6000};
constexpr core::duration slow_response{600};
constexpr std::size_t max_isolated_agents = 4;
constexpr double cancelled_share = 0.3;
constexpr double history_loss_probability = 0.3;

/// @return whether a transaction writes or removes orders
bool changes_orders(rows::transaction const& changes)
{
    auto const prefix = rows::layout::order_table(0).substr(
        0, rows::layout::order_table(0).rfind('-'));
    auto const is_order = [&](rows::row_key const& key) {
        return key.table.starts_with(prefix);
    };
    return std::any_of(
               changes.writes.begin(), changes.writes.end(),
               [&](auto const& write) { return is_order(write.key); }) ||
           std::any_of(changes.removals.begin(), changes.removals.end(),
                       is_order);
}

} // namespace

void process_fault_injector::inject()
{
    switch (random_.below(8)) {
    case 0:
        if (auto* const decider = system_.decider())
            disturb_after_commit(*decider, changes_orders);
        return;
    case 1:
        // An agent commits nothing but reports.
        return disturb_after_commit(pick_agent(),
                                    [](auto const&) { return true; });
    case 2:
    case 3:
        return isolate_agents();
    case 4:
        return freeze_agent();
    case 5:
        if (random_.happens(0.5))
            return kill_group(system_.entries(), "all entries killed");
        return kill_group(system_.agents(), "all agents killed");
    case 6:
        return turn_away_group();
    default:
        schedule_.count("jobs cancelled");
        system_.customers().cancel_jobs(cancelled_share);
    }
}

system_process& process_fault_injector::pick_agent()
{
    return system_.agents()[random_.below(system_.agents().size())];
}

core::duration process_fault_injector::pick_time_limit()
{
    auto const timing = system_.timing();
    std::array const limits{timing.store_outage_tolerance(),
                            timing.session_timeout(), timing.lost_after()};
    auto const limit = limits.at(random_.below(limits.size()));
    return random_.between(limit - limit_margin, limit + limit_margin);
}

void process_fault_injector::disturb(system_process& target)
{
    if (!target.is_running || target.is_stopping)
        return;
    switch (random_.below(4)) {
    case 0:
        schedule_.count("process killed at a given moment");
        system_.kill(target);
        return schedule_.restart_later(target);
    case 1:
        schedule_.count("process stopped at a given moment");
        system_.terminate(target);
        return schedule_.restart_later(target);
    case 2:
        system_.freeze(target);
        return schedule_.begin(
            "process frozen at a given moment",
            [this, &target] { system_.thaw(target); },
            random_.between(min_fault_duration, max_fault_duration));
    default:
        isolate(target,
                random_.between(min_fault_duration, max_fault_duration));
    }
}

void process_fault_injector::isolate(system_process& target,
                                     core::duration duration)
{
    constexpr std::array kinds{"store unreachable for one process",
                               "all responses to writes of a process lost",
                               "all writes of a process late"};
    store_faults faults;
    auto const kind = random_.below(kinds.size());
    if (kind == 0)
        faults.mode = store_faults::response::silent;
    else if (kind == 1)
        faults.lost_response_probability = 1;
    else
        faults.late_write_probability = 1;
    system_.set_store_faults(target, faults);
    schedule_.begin(
        kinds.at(kind),
        [this, &target] { system_.set_store_faults(target, {}); }, duration);
}

void process_fault_injector::disturb_after_commit(system_process& target,
                                                  commit_filter is_awaited)
{
    target.store->on_commit = [this, &target, is_awaited](auto const& changes) {
        if (!is_awaited(changes))
            return;
        // The callback must not destroy itself while it runs.
        schedule_.call_later(core::duration(0),
                             [&target] { target.store->on_commit = nullptr; });
        disturb(target);
    };
}

void process_fault_injector::isolate_agents()
{
    auto const count = 1 + random_.below(max_isolated_agents);
    for (std::size_t index = 0; index < count; ++index)
        isolate_agent(pick_agent());
}

void process_fault_injector::isolate_agent(system_process& agent)
{
    auto const duration = pick_time_limit();
    isolate(agent, duration);
    auto const moment =
        random_.between(duration - limit_margin, duration + limit_margin);
    auto const kind = random_.below(3);
    if (kind == 0)
        schedule_.call_later(moment, [this, &agent] { disturb(agent); });
    else if (kind == 1)
        schedule_.call_later(moment, [this] {
            if (auto* const decider = system_.decider())
                disturb(*decider);
        });
}

void process_fault_injector::freeze_agent()
{
    auto& agent = pick_agent();
    system_.freeze(agent);
    schedule_.begin(
        "agent frozen for about a time limit",
        [this, &agent] { system_.thaw(agent); }, pick_time_limit());
}

void process_fault_injector::kill_group(process_group& group,
                                        std::string const& kind)
{
    schedule_.count(kind);
    for (auto& target : group) {
        system_.kill(target);
        schedule_.restart_later(target);
    }
}

void process_fault_injector::turn_away_group()
{
    constexpr std::array modes{
        store_faults::response::refused, store_faults::response::throttled,
        store_faults::response::silent, store_faults::response::normal};
    store_faults faults;
    faults.mode = modes.at(random_.below(modes.size()));
    if (faults.mode == store_faults::response::normal)
        faults.delay = slow_response;
    bool const hits_entries = random_.happens(0.5);
    auto& group = hits_entries ? system_.entries() : system_.agents();
    for (auto& target : group)
        system_.set_store_faults(target, faults);
    auto const duration =
        random_.happens(0.5)
            ? pick_time_limit()
            : random_.between(min_fault_duration, max_fault_duration);
    if (random_.happens(history_loss_probability))
        schedule_.call_later(duration,
                             [this] { system_.store().drop_history(); });
    schedule_.begin(
        hits_entries ? "store turns all entries away"
                     : "store turns all agents away",
        [this, &group] {
            for (auto& target : group)
                system_.set_store_faults(target, {});
        },
        duration);
}

void process_fault_injector::heal()
{
    for (auto* const group : {&system_.entries(), &system_.agents()}) {
        for (auto& target : *group)
            target.store->on_commit = nullptr;
    }
}

} // namespace sequoiaroute::soak
