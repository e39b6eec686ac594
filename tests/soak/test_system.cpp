#include "soak/test_system.hpp"

#include "rows/row_layout.hpp"
#include "scheduler/commit_queue.hpp"
#include "wire_json.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

using adapter::json;

constexpr int customer_port = 21000;
constexpr int readiness_port = 21001;
constexpr int notice_port = 21002;
constexpr int metrics_port = 21003;
constexpr int heartbeat_port = 21004;
constexpr int store_port = 21005;
constexpr int executor_port = 21006;

/// The second byte of an address: 127.NETWORK.RUN.INDEX.
enum network
{
    address_claim_network = 20,
    entry_network,
    agent_network,
    executor_network,
    store_proxy_network,
    store_network,
};

/// Millicores, megabytes of memory, accelerators.
jobs::resources const executor_capacity{16'000, 64'000, 8};
/// How long after the start or end of a fault responses may still break off.
constexpr core::duration broken_response_grace{7000};
/// The third byte of all addresses of this run.
int run_number = 0;

/// @return IP:PORT
std::string address(network kind, std::size_t index, int port)
{
    return fmt::format("127.{}.{}.{}:{}", static_cast<int>(kind), run_number,
                       index + 1, port);
}

/// @return the IP address alone
std::string host(network kind, std::size_t index)
{
    auto const address_and_port = address(kind, index, 0);
    return address_and_port.substr(0, address_and_port.find(':'));
}

} // namespace

test_system::test_system(event::event_loop& loop, random_source& random,
                         std::filesystem::path binaries,
                         std::filesystem::path directory, options settings)
    : loop_(loop), random_(random), binaries_(std::move(binaries)),
      directory_(std::move(directory)), options_(settings), store_(loop),
      checker_(clock_), processes_(directory_)
{
}

core::result<std::unique_ptr<test_system>>
test_system::create(event::event_loop& loop, random_source& random,
                    std::filesystem::path binaries,
                    std::filesystem::path directory, options settings)
{
    std::unique_ptr<test_system> self(new test_system(
        loop, random, std::move(binaries), std::move(directory), settings));
    SEQUOIA_TRY(self->claim_addresses());
    // The vectors must not reallocate: others keep references to the elements.
    self->entries_.reserve(settings.entries);
    self->agents_.reserve(settings.workers);
    self->entry_endpoints_.reserve(settings.entries);
    self->write_rules("key-1");
    for (std::size_t index = 0; index < settings.entries; ++index)
        SEQUOIA_TRY(self->add_entry(index));
    for (std::size_t index = 0; index < settings.workers; ++index)
        SEQUOIA_TRY(self->add_worker(index));
    self->customers_ = std::make_unique<customer_simulator>(
        loop, self->checker_, random, self->entry_endpoints_);
    return self;
}

core::status test_system::claim_addresses()
{
    constexpr int run_number_count = 250;
    core::status last_failure = core::success();
    for (int attempt = 0; attempt < run_number_count; ++attempt) {
        run_number =
            1 + (static_cast<int>(::getpid()) + attempt) % run_number_count;
        auto server = event::http_server::create(
            loop_, connections_,
            address(address_claim_network, 0, customer_port), {},
            [](auto const&, auto const& respond) { respond({}); });
        if (core::is_ok(server)) {
            address_claim_ = core::value(std::move(server));
            return core::success();
        }
        last_failure = core::failure(server);
    }
    return last_failure;
}

std::string test_system::write_settings(std::string const& name,
                                        std::string const& text) const
{
    auto const path = directory_ / (name + ".ini");
    std::ofstream(path) << text;
    return path.string();
}

core::status test_system::add_store_proxy(system_process& target,
                                          std::size_t index)
{
    auto const server = address(store_network, index, store_port);
    SEQUOIA_TRY_INTO(target.store,
                     store_server::create(loop_, server, store_, random_));
    SEQUOIA_TRY_INTO(
        target.store_proxy,
        tcp_proxy::create(
            loop_, address(store_proxy_network, index, store_port), server));
    return core::success();
}

core::status test_system::add_entry(std::size_t index)
{
    auto& added = entries_.emplace_back();
    added.name = fmt::format("entry-{}", index + 1);
    SEQUOIA_TRY(add_store_proxy(added, index));
    auto const own_address = [&](int port) {
        return address(entry_network, index, port);
    };
    auto const settings = write_settings(
        added.name,
        fmt::format("[process]\nnode = {}\n[listen]\ncustomers = {}\n"
                    "readiness = {}\nentries = {}\nmetrics = {}\n[store]\n"
                    "address = {}\n[bounds]\nlease = {}ms\nstop = {}ms\n"
                    "grace = 5s\nstate_kept = 120s\nevacuation = {}ms\n",
                    added.name, own_address(customer_port),
                    own_address(readiness_port), own_address(notice_port),
                    own_address(metrics_port),
                    address(store_proxy_network, index, store_port),
                    options_.max_lease.count(), options_.max_stop_time.count(),
                    checker_.evacuation_bound.count()));
    added.arguments = {(binaries_ / "packages/programs/sequoiaroute").string(),
                       "schedule", "--settings=" + settings};
    entry_endpoints_.push_back({added.name, own_address(customer_port), false});
    start(added);
    return core::success();
}

core::status test_system::add_worker(std::size_t index)
{
    auto& added = agents_.emplace_back();
    added.name = fmt::format("agent-{}", index + 1);
    // Entries use the addresses of the store networks below this index.
    constexpr std::size_t first_agent_index = 100;
    SEQUOIA_TRY(add_store_proxy(added, first_agent_index + index));
    auto const own_address = [&](int port) {
        return address(agent_network, index, port);
    };
    auto const executor = address(executor_network, index, executor_port);
    auto const settings = write_settings(
        added.name,
        fmt::format(
            "[process]\nnode = {}\naddress = {}\n[listen]\n"
            "heartbeats = {}\nnotices = {}\nmetrics = {}\n[executor]\n"
            "address = {}\n[store]\naddress = {}\n[bounds]\n"
            "lease = {}ms\nstop = {}ms\n",
            added.name, host(agent_network, index), own_address(heartbeat_port),
            own_address(notice_port), own_address(metrics_port), executor,
            address(store_proxy_network, first_agent_index + index, store_port),
            options_.max_lease.count(), options_.max_stop_time.count()));
    added.arguments = {
        (binaries_ / "packages/programs/sequoiaroute-agent").string(),
        "--store_orders", "--settings=" + settings};
    executor_models_.push_back(std::make_unique<executor_model>(
        fmt::format("i-{}", index + 1), added.name, executor_capacity,
        options_.max_lease, clock_, checker_, gangs_));
    SEQUOIA_TRY_INTO(
        auto server,
        executor_server::create(loop_, {executor, own_address(heartbeat_port)},
                                *executor_models_.back(), random_,
                                fmt::format("r{}", index % 2)));
    server->on_timely_start = [this](jobs::run_id const& run,
                                     std::string const& data_centre) {
        checker_.on_timely_start(run, data_centre);
    };
    executor_servers_.push_back(std::move(server));
    start(added);
    return core::success();
}

void test_system::evacuate(std::string const& data_centre)
{
    store_.put({"op", "", "evacuate/" + data_centre}, "{}");
    checker_.on_evacuation(data_centre);
}

void test_system::end_evacuation(std::string const& data_centre)
{
    rows::transaction removal;
    removal.removals.push_back({"op", "", "evacuate/" + data_centre});
    store_.commit(std::move(removal), core::duration(0), [](auto const&) {});
    checker_.on_evacuation_end(data_centre);
}

void test_system::write_rules(std::string const& key)
{
    rules_version_ += 1 + static_cast<std::int64_t>(random_.below(3));
    auto const route = [](std::string const& name, int priority) {
        return json{{"Name", name},
                    {"Host", "jobs.example"},
                    {"PathPrefix", "/" + name + "/"},
                    {"Service", "s"},
                    {"Priority", priority},
                    {"MaxAttempts", 1000},
                    {"Stretch", 3.0},
                    {"TargetRuntimeMs", 1000},
                    {"Public", false}};
    };
    json const configuration{
        {"Version", rules_version_},
        {"Routes", {route("urgent", 0), route("patient", 1)}},
        {"Tenants",
         {{{"Name", "press"},
           {"ApiKeys", {key}},
           {"Guaranteed", {{"Gpu", 8}}}}}}};
    store_.put({"op", "", "config"}, configuration.dump());
    if (customers_ != nullptr)
        customers_->key = key;
}

jobs::lease_timing test_system::timing() const
{
    return {options_.max_lease, options_.max_stop_time};
}

system_process* test_system::decider()
{
    auto const row = store_.find(rows::layout::lease_row());
    if (!row)
        return nullptr;
    auto const lease = scheduler::decode_lease(row->value);
    if (!core::is_ok(lease))
        return nullptr;
    auto const found =
        std::find_if(entries_.begin(), entries_.end(), [&](auto const& entry) {
            return entry.name == core::value(lease).holder;
        });
    return found == entries_.end() ? nullptr : &*found;
}

void test_system::set_store_faults(system_process& target,
                                   store_faults const& faults)
{
    target.store->faults = faults;
    expect_broken_responses(target);
}

void test_system::set_worker_cut_off(std::size_t index, bool is_cut_off)
{
    store_faults faults;
    if (is_cut_off)
        faults.mode = store_faults::response::silent;
    set_store_faults(agents_[index], faults);
    executor_models_[index]->is_cut_off_from_gangs = is_cut_off;
}

void test_system::expect_broken_responses(system_process& target)
{
    target.broken_responses_allowed_until = loop_.now() + broken_response_grace;
}

void test_system::start(system_process& target)
{
    processes_.start(target.name, target.arguments);
    target.is_running = true;
    target.is_frozen = false;
    target.is_waiting_for_turn = false;
    target.is_stopping = false;
}

void test_system::kill(system_process& target)
{
    if (!target.is_running)
        return;
    expect_broken_responses(target);
    processes_.kill(target.name);
    target.is_running = false;
}

void test_system::freeze(system_process& target)
{
    if (!target.is_running || target.is_frozen)
        return;
    expect_broken_responses(target);
    if (!target.is_waiting_for_turn)
        processes_.freeze(target.name);
    target.is_frozen = true;
}

void test_system::thaw(system_process& target)
{
    if (!target.is_running || !target.is_frozen)
        return;
    expect_broken_responses(target);
    if (!target.is_waiting_for_turn)
        processes_.thaw(target.name);
    target.is_frozen = false;
}

void test_system::set_waiting_for_turn(system_process& target, bool is_waiting)
{
    if (!target.is_running || target.is_waiting_for_turn == is_waiting)
        return;
    target.is_waiting_for_turn = is_waiting;
    if (target.is_frozen)
        return;
    // Not process_set::freeze(): the process may have ended since the last
    // tick(), and the stop need not have taken effect on return.
    processes_.send_signal(target.name, is_waiting ? SIGSTOP : SIGCONT);
}

void test_system::terminate(system_process& target)
{
    if (!target.is_running || target.is_frozen)
        return;
    target.is_stopping = true;
    processes_.terminate(target.name);
}

void test_system::tick()
{
    auto const now = loop_.now();
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        auto const& entry = entries_[index];
        entry_endpoints_[index].must_complete_responses =
            entry.is_running && entry.is_stopping &&
            entry.broken_responses_allowed_until < now;
    }
    for (auto* const group : {&entries_, &agents_}) {
        for (auto& target : *group) {
            if (target.is_running && target.is_stopping &&
                processes_.poll_exit_status(target.name))
                target.is_running = false;
        }
    }
}

} // namespace sequoiaroute::soak
