#include "soak/machine_fault_injector.hpp"

namespace sequoiaroute::soak {

namespace {

constexpr core::duration min_starvation{2000};
constexpr core::duration max_starvation{12'000};
constexpr core::duration min_pause{60};
constexpr core::duration max_pause{700};
constexpr core::duration min_turn{5};
constexpr core::duration max_turn{40};
constexpr double starved_share = 0.33;
constexpr std::size_t max_machines_without_power = 3;
constexpr core::duration min_downtime{300};
constexpr core::duration max_downtime{5000};
constexpr core::duration min_cut{2000};
constexpr core::duration max_cut{12'000};
constexpr double killed_share = 0.3;

} // namespace

void machine_fault_injector::inject()
{
    switch (random_.below(4)) {
    case 0:
    case 1:
        return starve_processes();
    case 2:
        return cut_power();
    default:
        return lose_data_centre();
    }
}

void machine_fault_injector::starve_processes()
{
    schedule_.count("processes with little processor time");
    auto const duration = random_.between(min_starvation, max_starvation);
    for (auto* const group : {&system_.entries(), &system_.agents()}) {
        for (auto& target : *group) {
            if (random_.happens(starved_share))
                starve(target, duration);
        }
    }
}

void machine_fault_injector::starve(system_process& target,
                                    core::duration remaining)
{
    if (remaining <= core::duration(0))
        return;
    auto const pause = random_.between(min_pause, max_pause);
    auto const turn = random_.between(min_turn, max_turn);
    system_.freeze(target);
    schedule_.call_later(pause, [this, &target, remaining, pause, turn] {
        system_.thaw(target);
        schedule_.call_later(turn, [this, &target, remaining, pause, turn] {
            starve(target, remaining - pause - turn);
        });
    });
}

void machine_fault_injector::cut_power()
{
    auto const count = 1 + random_.below(max_machines_without_power);
    for (std::size_t machine = 0; machine < count; ++machine) {
        schedule_.count("machine without power");
        auto const index = random_.below(system_.agents().size());
        auto& agent = system_.agents()[index];
        system_.executor_servers()[index]->crash(
            random_.between(min_downtime, max_downtime));
        system_.kill(agent);
        schedule_.restart_later(agent);
    }
}

void machine_fault_injector::lose_data_centre()
{
    auto const duration = random_.between(min_cut, max_cut);
    for (std::size_t index = 0; index < system_.agents().size(); index += 2) {
        auto& agent = system_.agents()[index];
        system_.set_worker_cut_off(index, true);
        if (random_.happens(killed_share)) {
            system_.kill(agent);
            schedule_.restart_later(agent);
        }
    }
    schedule_.begin(
        "data centre cut off",
        [this] {
            for (std::size_t index = 0; index < system_.agents().size();
                 index += 2)
                system_.set_worker_cut_off(index, false);
        },
        duration);
}

} // namespace sequoiaroute::soak
