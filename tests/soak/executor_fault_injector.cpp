#include "soak/executor_fault_injector.hpp"

#include <array>
#include <utility>

namespace sequoiaroute::soak {

namespace {

constexpr core::duration min_fault_duration{200};
constexpr core::duration max_fault_duration{9000};
constexpr core::duration min_drain_time{800};
constexpr core::duration max_drain_time{4000};
constexpr core::duration max_quick_restart{300};
constexpr int restarts_in_series = 3;
constexpr core::duration max_series_cut{1500};
/// An agent adopts an incarnation and sends its orders within that time, but
/// often knows no result yet.
constexpr core::duration min_contact_time{20};
constexpr core::duration max_contact_time{400};
/// Cuts up to about this length may end while an agent still takes the
/// incarnation that it saw before as confirmed.
constexpr core::duration max_confirmed_cut{1500};
/// The simulation advances only so often, so runs stop that much later.
constexpr core::duration stop_margin{60};
constexpr double late_probability = 0.5;
constexpr double throttled_probability = 0.5;

} // namespace

core::duration executor_fault_injector::pick_duration()
{
    return random_.between(min_fault_duration, max_fault_duration);
}

void executor_fault_injector::inject()
{
    auto const index = random_.below(system_.executor_servers().size());
    target const hit{*system_.executor_servers()[index],
                     *system_.executor_models()[index]};
    switch (random_.below(11)) {
    case 0:
    case 1:
        return lose_path(hit);
    case 2:
        return restart_behind_cut(hit);
    case 3:
        return restart_at_once(hit);
    case 4:
        return refuse_orders(hit);
    case 5:
        return execute_late(hit);
    case 6:
        return delay_heartbeats(hit);
    case 7:
        return leave(hit);
    case 8:
        return stop_slowly(hit);
    case 9:
        return restart_in_series(hit);
    default:
        return fail_runs(hit);
    }
}

void executor_fault_injector::lose_path(target const& hit)
{
    using path = executor_faults::path;
    constexpr std::array<std::pair<path, char const*>, 4> kinds{{
        {path::silent, "executor cut off"},
        {path::requests_lost, "executor receives nothing"},
        {path::responses_lost, "executor's responses lost"},
        {path::refused, "executor refuses connections"},
    }};
    auto const& [kind, name] = kinds.at(random_.below(kinds.size()));
    hit.server.faults.to_agent = kind;
    schedule_.begin(
        name, [&server = hit.server] { server.faults.to_agent = path::normal; },
        pick_duration());
}

void executor_fault_injector::restart_behind_cut(target const& hit)
{
    auto& server = hit.server;
    auto const duration = random_.between(
        min_fault_duration,
        random_.happens(0.5) ? max_confirmed_cut : max_fault_duration);
    server.faults.to_agent = executor_faults::path::silent;
    auto const next = pick_succession();
    schedule_.call_later(random_.between(core::duration(0), duration),
                         [&server, next] { server.restart_unnoticed(next); });
    schedule_.begin(
        "executor restarts behind a cut",
        [&server] { server.faults.to_agent = executor_faults::path::normal; },
        duration);
}

void executor_fault_injector::restart_in_series(target const& hit)
{
    using path = executor_faults::path;
    auto& server = hit.server;
    core::duration at{0};
    server.faults.to_agent = path::silent;
    for (int restart = 0; restart < restarts_in_series; ++restart) {
        at += random_.between(min_fault_duration, max_series_cut);
        auto const next = pick_succession();
        schedule_.call_later(at, [&server, next] {
            server.faults.to_agent = path::normal;
            server.restart_unnoticed(next);
        });
        at += random_.between(min_contact_time, max_contact_time);
        schedule_.call_later(
            at, [&server] { server.faults.to_agent = path::silent; });
    }
    at += random_.between(min_fault_duration, max_series_cut);
    schedule_.begin(
        "executor restarts in series",
        [&server] { server.faults.to_agent = path::normal; }, at);
}

void executor_fault_injector::restart_at_once(target const& hit)
{
    if (random_.happens(0.5)) {
        schedule_.count("executor's connections reset");
        return hit.server.reset_connections();
    }
    schedule_.count("executor restarts at once");
    auto const next = pick_succession();
    hit.server.crash(random_.between(core::duration(0), max_quick_restart),
                     next);
}

executor_model::succession executor_fault_injector::pick_succession()
{
    using succession = executor_model::succession;
    constexpr std::array<std::pair<succession, char const*>, 3> kinds{{
        {succession::same_id, "executor restarts under its id"},
        {succession::new_id, "executor replaced by one with another id"},
        {succession::earlier_start, "executor restarts with an earlier start"},
    }};
    auto const& [next, name] = kinds.at(random_.below(kinds.size()));
    schedule_.count(name);
    return next;
}

void executor_fault_injector::refuse_orders(target const& hit)
{
    constexpr int throttled = 429;
    constexpr int unavailable = 503;
    hit.server.faults.order_refusal =
        random_.happens(throttled_probability) ? throttled : unavailable;
    schedule_.begin(
        "executor refuses orders",
        [&server = hit.server] { server.faults.order_refusal = 0; },
        pick_duration());
}

void executor_fault_injector::execute_late(target const& hit)
{
    hit.server.faults.late_order_probability = late_probability;
    schedule_.begin(
        "most orders executed late",
        [&server = hit.server] { server.faults.late_order_probability = 0; },
        pick_duration());
}

void executor_fault_injector::delay_heartbeats(target const& hit)
{
    hit.server.send_foreign_heartbeat();
    hit.server.faults.late_heartbeat_probability = late_probability;
    schedule_.begin(
        "heartbeats out of order",
        [&server = hit.server] {
            server.faults.late_heartbeat_probability = 0;
        },
        pick_duration());
}

void executor_fault_injector::leave(target const& hit)
{
    using deregistration = executor_faults::deregistration;
    constexpr std::array<std::pair<deregistration, char const*>, 3> kinds{{
        {deregistration::unacknowledged, "deregistration not acknowledged"},
        {deregistration::late, "deregistration arrives late"},
        {deregistration::lost, "deregistration lost"},
    }};
    auto const& [kind, name] = kinds.at(random_.below(kinds.size()));
    auto const remaining = random_.between(min_drain_time, max_drain_time);
    hit.server.faults.leaving = kind;
    hit.server.drain(remaining);
    schedule_.begin(
        name,
        [&server = hit.server] {
            server.faults.leaving = deregistration::acknowledged;
        },
        remaining + min_fault_duration);
}

void executor_fault_injector::stop_slowly(target const& hit)
{
    auto const longest = system_.timing().max_stop_time - stop_margin;
    hit.model.stop_time =
        random_.between(executor_model::usual_stop_time, longest);
    schedule_.begin(
        "executor stops runs slowly",
        [&model = hit.model] {
            model.stop_time = executor_model::usual_stop_time;
        },
        pick_duration());
}

void executor_fault_injector::fail_runs(target const& hit)
{
    hit.model.fails_runs = true;
    schedule_.begin(
        "executor fails runs",
        [&model = hit.model] { model.fails_runs = false; }, pick_duration());
}

void executor_fault_injector::heal()
{
    for (auto const& server : system_.executor_servers())
        server->faults = {};
    for (auto const& model : system_.executor_models()) {
        model->is_hanging = false;
        model->is_cut_off_from_gangs = false;
        model->fails_runs = false;
        model->stop_time = executor_model::usual_stop_time;
    }
}

} // namespace sequoiaroute::soak
