#include "soak/fault_injector.hpp"

#include <csignal>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

constexpr core::duration least_pause{150};
constexpr core::duration longest_pause{900};
constexpr core::duration least_fault{300};
constexpr core::duration longest_fault{4000};
constexpr core::duration restart_period{300};
constexpr double lost_share = 0.35;
constexpr double late_share = 0.25;

} // namespace

fault_injector::fault_injector(event::event_loop& loop, random_source& random,
                               test_system& system)
    : loop_(loop), random_(random), system_(system)
{
}

void fault_injector::start()
{
    draw_timer_ =
        loop_.after(random_.between(least_pause, longest_pause), [this] {
            draw();
            if (!is_healed_)
                start();
        });
}

void fault_injector::begin(std::string const& kind, std::function<void()> end,
                           core::duration length)
{
    ++counts_[kind];
    ends_.push_back(loop_.after(length, std::move(end)));
}

member& fault_injector::any_member()
{
    auto& group = random_.happens(0.6) ? system_.entries() : system_.agents();
    return group[random_.below(group.size())];
}

void fault_injector::draw()
{
    switch (random_.below(5)) {
    case 0:
        return disturb_store();
    case 1:
        return disturb_link();
    case 2:
        return disturb_process();
    case 3:
        return disturb_executor();
    default:
        return change_rules();
    }
}

void fault_injector::disturb_store()
{
    auto const length = random_.between(least_fault, longest_fault);
    if (random_.happens(0.2)) {
        system_.store().drop_history();
        ++counts_["history dropped"];
        return;
    }
    auto const kind = random_.below(5);
    bool const is_for_all = random_.happens(0.4);
    auto& one = any_member();
    auto const change = [this, is_for_all, &one](auto const& set) {
        for (auto* const group : {&system_.entries(), &system_.agents()}) {
            for (auto& target : *group) {
                if (!is_for_all && &target != &one)
                    continue;
                set(target.store->faults);
                system_.disturb(target);
            }
        }
    };
    change([&](store_faults& faults) {
        if (kind == 0)
            faults.mode = store_faults::answer::refused;
        else if (kind == 1)
            faults.mode = store_faults::answer::silent;
        else if (kind == 2)
            faults.delay = core::duration(250);
        else if (kind == 3)
            faults.lost_answers = lost_share;
        else
            faults.late_writes = late_share;
    });
    constexpr std::array names{"store refuses", "store is silent",
                               "store is slow", "store loses answers",
                               "store writes late"};
    begin(
        fmt::format("{}{}", names.at(kind), is_for_all ? " for all" : ""),
        [change] { change([](store_faults& faults) { faults = {}; }); },
        length);
}

void fault_injector::disturb_link()
{
    auto& target = any_member();
    auto& link = *target.store_link;
    system_.disturb(target);
    auto const length = random_.between(least_fault, longest_fault);
    switch (random_.below(4)) {
    case 0:
        ++counts_["connections reset"];
        return link.reset();
    case 1:
        ++counts_["connections silent"];
        return link.silence();
    case 2: {
        bool const is_up_cut = random_.happens(0.5);
        bool const is_down_cut = !is_up_cut || random_.happens(0.5);
        link.cut(is_up_cut, is_down_cut);
        return begin(
            "link cut",
            [this, &link, &target] {
                link.cut(false, false);
                system_.disturb(target);
            },
            length);
    }
    default:
        link.delay(random_.between(core::duration(20), core::duration(300)));
        return begin(
            "link delayed", [&link] { link.delay(core::duration(0)); }, length);
    }
}

void fault_injector::restart_later(member& target)
{
    ends_.push_back(loop_.after(random_.between(restart_period, longest_fault),
                                [this, &target] {
                                    if (target.is_running)
                                        return restart_later(target);
                                    system_.start(target);
                                }));
}

void fault_injector::disturb_process()
{
    auto& target = any_member();
    if (!target.is_running || target.is_stopping)
        return;
    switch (random_.below(4)) {
    case 0:
        ++counts_["process killed"];
        system_.kill(target);
        return restart_later(target);
    case 1:
        ++counts_["process stopped"];
        system_.terminate(target);
        return restart_later(target);
    case 2:
        system_.freeze(target);
        return begin(
            "process frozen", [this, &target] { system_.thaw(target); },
            random_.between(least_fault, longest_fault));
    default:
        ++counts_["settings signal"];
        system_.processes().send(target.name, SIGHUP);
    }
}

void fault_injector::disturb_executor()
{
    auto const index = random_.below(system_.executors().size());
    auto& server = *system_.executors()[index];
    auto& model = *system_.models()[index];
    auto const length = random_.between(least_fault, longest_fault);
    switch (random_.below(4)) {
    case 0:
        ++counts_["executor crashes"];
        return server.crash(length);
    case 1:
        ++counts_["executor leaves"];
        return server.leave(
            random_.between(core::duration(800), longest_fault));
    case 2:
        model.is_hanging = true;
        return begin(
            "executor hangs", [&model] { model.is_hanging = false; }, length);
    default:
        server.late_orders = late_share;
        return begin(
            "orders late", [&server] { server.late_orders = 0; }, length);
    }
}

void fault_injector::change_rules()
{
    ++counts_["rules changed"];
    system_.configure(fmt::format("key-{}", ++changes_));
}

void fault_injector::heal()
{
    is_healed_ = true;
    draw_timer_.reset();
    ends_.clear();
    for (auto* const group : {&system_.entries(), &system_.agents()}) {
        for (auto& target : *group) {
            target.store->faults = {};
            target.store_link->cut(false, false);
            target.store_link->delay(core::duration(0));
            system_.disturb(target);
            system_.thaw(target);
            if (!target.is_running)
                system_.start(target);
            else if (target.is_stopping)
                restart_later(target);
        }
    }
    for (auto const& model : system_.models())
        model->is_hanging = false;
    for (auto const& server : system_.executors())
        server->late_orders = 0;
}

} // namespace sequoiaroute::soak
