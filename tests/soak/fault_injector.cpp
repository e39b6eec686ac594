#include "soak/fault_injector.hpp"

#include <array>
#include <csignal>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

/// The time between two faults.
constexpr core::duration min_fault_delay{150};
constexpr core::duration max_fault_delay{900};
/// Faults of processes and machines last for many seconds, so they come less
/// often.
constexpr int process_fault_delay_factor = 3;
constexpr core::duration min_fault_duration{300};
constexpr core::duration max_fault_duration{4000};
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
constexpr core::duration min_worker_cut{3000};
constexpr core::duration max_worker_cut{9000};
constexpr std::size_t max_cut_off_workers = 2;
/// How many other workers are disturbed meanwhile.
constexpr std::size_t min_disturbed_workers = 2;
constexpr std::size_t max_disturbed_workers = 4;
constexpr core::duration max_worker_downtime{1500};
constexpr double crash_probability = 0.7;
// Shorter ones end before any start is forbidden for certain.
constexpr core::duration min_evacuation{4000};
constexpr core::duration max_evacuation{12'000};
constexpr core::duration min_evacuation_gap{20};
constexpr core::duration max_evacuation_gap{3000};
/// As the executors name them.
constexpr std::array<char const*, 2> data_centres{"r0", "r1"};
constexpr double injected_loss_probability = 0.35;
constexpr double injected_late_probability = 0.25;

} // namespace

fault_injector::fault_injector(event::event_loop& loop, random_source& random,
                               test_system& system, selection selected)
    : loop_(loop), random_(random), system_(system), selected_(selected),
      schedule_(loop, random, system),
      executor_faults_(random, system, schedule_),
      process_faults_(random, system, schedule_),
      machine_faults_(random, system, schedule_)
{
}

void fault_injector::start()
{
    if (selected_ == selection::store_outages)
        return begin_store_outage();
    if (selected_ == selection::stale_reads)
        return begin_stale_reads();
    if (selected_ == selection::cut_off_workers)
        return begin_worker_cuts();
    if (selected_ == selection::evacuations &&
        next_evacuation_timer_ == nullptr)
        begin_evacuation();
    bool const is_long =
        selected_ == selection::processes || selected_ == selection::machines;
    auto const factor = is_long ? process_fault_delay_factor : 1;
    auto const delay = random_.between(min_fault_delay, max_fault_delay);
    next_fault_timer_ = loop_.after(factor * delay, [this] {
        inject_selected_fault();
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
    schedule_.begin(
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
        schedule_.begin(
            "agent without the store",
            [this, &agent] {
                set_store_faults(&agent,
                                 [](store_faults& faults) { faults = {}; });
            },
            silence);
    }
    auto& store = system_.store();
    schedule_.call_later(silence - feed_silence_before_return, [&store] {
        store.keep_state_for_stale_reads();
        store.silent_feed_prefix = "";
    });
    schedule_.call_later(silence + feed_silence_after_return, [&store] {
        store.silent_feed_prefix.reset();
        store.drop_history();
        store.are_reads_stale = true;
    });
    schedule_.begin(
        "stale reads", [&store] { store.are_reads_stale = false; },
        silence - feed_silence_before_return + staleness);
    next_fault_timer_ =
        loop_.after(silence + staleness + stale_reads_gap, [this] {
            if (!is_healed_)
                begin_stale_reads();
        });
}

void fault_injector::begin_worker_cuts()
{
    auto const count = system_.agents().size();
    auto const first = random_.below(count);
    auto const cut_off = 1 + random_.below(max_cut_off_workers);
    auto const disturbed =
        min_disturbed_workers +
        random_.below(max_disturbed_workers - min_disturbed_workers + 1);
    for (std::size_t offset = 0; offset < cut_off; ++offset)
        cut_off_worker((first + offset) % count);
    for (std::size_t offset = 0; offset < disturbed; ++offset) {
        auto const index = (first + cut_off + offset) % count;
        schedule_.call_later(random_.between(core::duration(0), min_worker_cut),
                             [this, index] { break_gangs_of(index); });
    }
    next_fault_timer_ =
        loop_.after(random_.between(min_worker_cut, max_worker_cut), [this] {
            if (!is_healed_)
                begin_worker_cuts();
        });
}

void fault_injector::begin_evacuation()
{
    std::string const data_centre =
        data_centres.at(random_.below(data_centres.size()));
    auto const duration = random_.between(min_evacuation, max_evacuation);
    system_.evacuate(data_centre);
    schedule_.begin(
        "evacuation",
        [this, data_centre] { system_.end_evacuation(data_centre); }, duration);
    auto const gap = random_.between(min_evacuation_gap, max_evacuation_gap);
    next_evacuation_timer_ = loop_.after(duration + gap, [this] {
        if (!is_healed_)
            begin_evacuation();
    });
}

void fault_injector::cut_off_worker(std::size_t index)
{
    system_.set_worker_cut_off(index, true);
    schedule_.begin(
        "worker cut off",
        [this, index] { system_.set_worker_cut_off(index, false); },
        random_.between(min_worker_cut, max_worker_cut));
}

void fault_injector::break_gangs_of(std::size_t index)
{
    if (random_.happens(crash_probability)) {
        schedule_.count("executor crashes");
        return system_.executor_servers()[index]->crash(
            random_.between(min_fault_duration, max_worker_downtime));
    }
    auto& model = *system_.executor_models()[index];
    model.fails_runs = true;
    schedule_.begin(
        "executor fails runs", [&model] { model.fails_runs = false; },
        random_.between(min_fault_duration, max_fault_duration));
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

system_process& fault_injector::pick_process()
{
    auto& group = random_.happens(0.6) ? system_.entries() : system_.agents();
    return group[random_.below(group.size())];
}

void fault_injector::inject_selected_fault()
{
    if (selected_ == selection::machines)
        return machine_faults_.inject();
    auto const group = selected_ == selection::mixed ? random_.below(3) : 0;
    if (selected_ == selection::executors || group == 1)
        return executor_faults_.inject();
    if (selected_ == selection::processes || group == 2)
        return process_faults_.inject();
    inject_fault();
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
        schedule_.count("history dropped");
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
    schedule_.begin(
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
        schedule_.count("connections reset");
        return proxy.reset_connections();
    case 1:
        schedule_.count("connections stalled");
        return proxy.stall_connections();
    case 2: {
        bool const drops_to_server = random_.happens(0.5);
        bool const drops_to_client = !drops_to_server || random_.happens(0.5);
        proxy.drop_data(drops_to_server, drops_to_client);
        return schedule_.begin(
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
        return schedule_.begin(
            "link delayed", [&proxy] { proxy.set_delay(core::duration(0)); },
            duration);
    }
}

void fault_injector::inject_process_fault()
{
    auto& target = pick_process();
    if (!target.is_running || target.is_stopping)
        return;
    switch (random_.below(4)) {
    case 0:
        schedule_.count("process killed");
        system_.kill(target);
        return schedule_.restart_later(target);
    case 1:
        schedule_.count("process stopped");
        system_.terminate(target);
        return schedule_.restart_later(target);
    case 2:
        system_.freeze(target);
        return schedule_.begin(
            "process frozen", [this, &target] { system_.thaw(target); },
            random_.between(min_fault_duration, max_fault_duration));
    default:
        schedule_.count("settings signal");
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
        schedule_.count("executor crashes");
        return server.crash(duration);
    case 1:
        schedule_.count("executor drains");
        return server.drain(
            random_.between(core::duration(800), max_fault_duration));
    case 2:
        model.is_hanging = true;
        return schedule_.begin(
            "executor hangs", [&model] { model.is_hanging = false; }, duration);
    default:
        server.faults.late_order_probability = injected_late_probability;
        return schedule_.begin(
            "orders executed late",
            [&server] { server.faults.late_order_probability = 0; }, duration);
    }
}

void fault_injector::change_rules()
{
    schedule_.count("rules changed");
    system_.write_rules(fmt::format("key-{}", ++key_number_));
}

void fault_injector::heal()
{
    is_healed_ = true;
    next_fault_timer_.reset();
    next_evacuation_timer_.reset();
    schedule_.clear();
    for (auto const* data_centre : data_centres)
        system_.end_evacuation(data_centre);
    executor_faults_.heal();
    process_faults_.heal();
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
                schedule_.restart_later(target);
        }
    }
}

} // namespace sequoiaroute::soak
