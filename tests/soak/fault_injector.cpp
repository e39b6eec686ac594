#include "soak/fault_injector.hpp"

#include <csignal>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

/// The time between two faults.
constexpr core::duration min_fault_delay{150};
constexpr core::duration max_fault_delay{900};
constexpr core::duration min_fault_duration{300};
constexpr core::duration max_fault_duration{4000};
constexpr core::duration min_restart_delay{300};
// The store works too briefly between outages for every report to get through.
constexpr core::duration min_outage{1200};
constexpr core::duration max_outage{4400};
constexpr core::duration min_outage_gap{1200};
constexpr core::duration max_outage_gap{2600};
// The lease of a silent agent lasts between the two, so that runs end in some
// agents and go on in others.
constexpr core::duration min_agent_silence{7600};
constexpr core::duration max_agent_silence{9000};
constexpr double silent_agent_probability = 0.4;
/// How long the reads of the store show the rows of one moment.
constexpr core::duration staleness{3000};
/// How long before and after the return of the agents the feeds are silent.
constexpr core::duration feed_silence_before_return{200};
constexpr core::duration feed_silence_after_return{800};
constexpr core::duration stale_reads_gap{4000};
constexpr double injected_loss_probability = 0.35;
constexpr double injected_late_probability = 0.25;

} // namespace

fault_injector::fault_injector(event::event_loop& loop, random_source& random,
                               test_system& system, selection selected)
    : loop_(loop), random_(random), system_(system), selected_(selected)
{
}

void fault_injector::start()
{
    if (selected_ == selection::store_outages)
        return begin_store_outage();
    if (selected_ == selection::stale_reads)
        return begin_stale_reads();
    next_fault_timer_ =
        loop_.after(random_.between(min_fault_delay, max_fault_delay), [this] {
            inject_fault();
            if (!is_healed_)
                start();
        });
}

void fault_injector::begin_store_outage()
{
    auto const duration = random_.between(min_outage, max_outage);
    auto const gap = random_.between(min_outage_gap, max_outage_gap);
    set_store_faults(nullptr, [](store_faults& faults) {
        faults.mode = store_faults::response::silent;
    });
    begin_fault(
        "store outage",
        [this] {
            set_store_faults(nullptr,
                             [](store_faults& faults) { faults = {}; });
        },
        duration);
    next_fault_timer_ = loop_.after(duration + gap, [this] {
        if (!is_healed_)
            begin_store_outage();
    });
}

void fault_injector::begin_stale_reads()
{
    auto const silence = random_.between(min_agent_silence, max_agent_silence);
    for (auto& agent : system_.agents()) {
        if (!random_.happens(silent_agent_probability))
            continue;
        set_store_faults(&agent, [](store_faults& faults) {
            faults.mode = store_faults::response::silent;
        });
        begin_fault(
            "agent without the store",
            [this, &agent] {
                set_store_faults(&agent,
                                 [](store_faults& faults) { faults = {}; });
            },
            silence);
    }
    auto& store = system_.store();
    call_later(silence - feed_silence_before_return, [&store] {
        store.keep_state_for_stale_reads();
        store.silent_feed_prefix = "";
    });
    call_later(silence + feed_silence_after_return, [&store] {
        store.silent_feed_prefix.reset();
        store.drop_history();
        store.are_reads_stale = true;
    });
    begin_fault(
        "stale reads", [&store] { store.are_reads_stale = false; },
        silence - feed_silence_before_return + staleness);
    next_fault_timer_ =
        loop_.after(silence + staleness + stale_reads_gap, [this] {
            if (!is_healed_)
                begin_stale_reads();
        });
}

void fault_injector::set_store_faults(
    system_process const* only,
    std::function<void(store_faults&)> const& change)
{
    for (auto* const group : {&system_.entries(), &system_.agents()}) {
        for (auto& target : *group) {
            if (only != nullptr && &target != only)
                continue;
            change(target.store->faults);
            system_.expect_broken_responses(target);
        }
    }
}

void fault_injector::call_later(core::duration delay,
                                std::function<void()> call)
{
    fault_timers_.push_back(loop_.after(delay, std::move(call)));
}

void fault_injector::begin_fault(std::string const& kind,
                                 std::function<void()> end,
                                 core::duration duration)
{
    ++fault_counts_[kind];
    call_later(duration, std::move(end));
}

system_process& fault_injector::pick_process()
{
    auto& group = random_.happens(0.6) ? system_.entries() : system_.agents();
    return group[random_.below(group.size())];
}

void fault_injector::inject_fault()
{
    switch (random_.below(5)) {
    case 0:
        return inject_store_fault();
    case 1:
        return inject_link_fault();
    case 2:
        return inject_process_fault();
    case 3:
        return inject_executor_fault();
    default:
        return change_rules();
    }
}

void fault_injector::inject_store_fault()
{
    auto const duration =
        random_.between(min_fault_duration, max_fault_duration);
    if (random_.happens(0.2)) {
        system_.store().drop_history();
        ++fault_counts_["history dropped"];
        return;
    }
    auto const kind = random_.below(5);
    bool const affects_all = random_.happens(0.4);
    auto const* const chosen = &pick_process();
    auto const* const only = affects_all ? nullptr : chosen;
    set_store_faults(only, [&](store_faults& faults) {
        if (kind == 0)
            faults.mode = store_faults::response::refused;
        else if (kind == 1)
            faults.mode = store_faults::response::silent;
        else if (kind == 2)
            faults.delay = core::duration(250);
        else if (kind == 3)
            faults.lost_response_probability = injected_loss_probability;
        else
            faults.late_write_probability = injected_late_probability;
    });
    constexpr std::array names{"store refuses calls", "store is silent",
                               "store is slow", "store loses responses",
                               "store writes late"};
    begin_fault(
        fmt::format("{}{}", names.at(kind), affects_all ? " for all" : ""),
        [this, only] {
            set_store_faults(only, [](store_faults& faults) { faults = {}; });
        },
        duration);
}

void fault_injector::inject_link_fault()
{
    auto& target = pick_process();
    auto& proxy = *target.store_proxy;
    system_.expect_broken_responses(target);
    auto const duration =
        random_.between(min_fault_duration, max_fault_duration);
    switch (random_.below(4)) {
    case 0:
        ++fault_counts_["connections reset"];
        return proxy.reset_connections();
    case 1:
        ++fault_counts_["connections stalled"];
        return proxy.stall_connections();
    case 2: {
        bool const drops_to_server = random_.happens(0.5);
        bool const drops_to_client = !drops_to_server || random_.happens(0.5);
        proxy.drop_data(drops_to_server, drops_to_client);
        return begin_fault(
            "link cut",
            [this, &proxy, &target] {
                proxy.drop_data(false, false);
                system_.expect_broken_responses(target);
            },
            duration);
    }
    default:
        proxy.set_delay(
            random_.between(core::duration(20), core::duration(300)));
        return begin_fault(
            "link delayed", [&proxy] { proxy.set_delay(core::duration(0)); },
            duration);
    }
}

void fault_injector::restart_later(system_process& target)
{
    fault_timers_.push_back(
        loop_.after(random_.between(min_restart_delay, max_fault_duration),
                    [this, &target] {
                        if (target.is_running)
                            return restart_later(target);
                        system_.start(target);
                    }));
}

void fault_injector::inject_process_fault()
{
    auto& target = pick_process();
    if (!target.is_running || target.is_stopping)
        return;
    switch (random_.below(4)) {
    case 0:
        ++fault_counts_["process killed"];
        system_.kill(target);
        return restart_later(target);
    case 1:
        ++fault_counts_["process stopped"];
        system_.terminate(target);
        return restart_later(target);
    case 2:
        system_.freeze(target);
        return begin_fault(
            "process frozen", [this, &target] { system_.thaw(target); },
            random_.between(min_fault_duration, max_fault_duration));
    default:
        ++fault_counts_["settings signal"];
        system_.processes().send_signal(target.name, SIGHUP);
    }
}

void fault_injector::inject_executor_fault()
{
    auto const index = random_.below(system_.executor_servers().size());
    auto& server = *system_.executor_servers()[index];
    auto& model = *system_.executor_models()[index];
    auto const duration =
        random_.between(min_fault_duration, max_fault_duration);
    switch (random_.below(4)) {
    case 0:
        ++fault_counts_["executor crashes"];
        return server.crash(duration);
    case 1:
        ++fault_counts_["executor drains"];
        return server.drain(
            random_.between(core::duration(800), max_fault_duration));
    case 2:
        model.is_hanging = true;
        return begin_fault(
            "executor hangs", [&model] { model.is_hanging = false; }, duration);
    default:
        server.late_order_probability = injected_late_probability;
        return begin_fault(
            "orders executed late",
            [&server] { server.late_order_probability = 0; }, duration);
    }
}

void fault_injector::change_rules()
{
    ++fault_counts_["rules changed"];
    system_.write_rules(fmt::format("key-{}", ++key_number_));
}

void fault_injector::heal()
{
    is_healed_ = true;
    next_fault_timer_.reset();
    fault_timers_.clear();
    system_.store().silent_feed_prefix.reset();
    system_.store().are_reads_stale = false;
    for (auto* const group : {&system_.entries(), &system_.agents()}) {
        for (auto& target : *group) {
            target.store->faults = {};
            target.store_proxy->drop_data(false, false);
            target.store_proxy->set_delay(core::duration(0));
            system_.expect_broken_responses(target);
            system_.thaw(target);
            if (!target.is_running)
                system_.start(target);
            else if (target.is_stopping)
                restart_later(target);
        }
    }
    for (auto const& model : system_.executor_models())
        model->is_hanging = false;
    for (auto const& server : system_.executor_servers())
        server->late_order_probability = 0;
}

} // namespace sequoiaroute::soak
