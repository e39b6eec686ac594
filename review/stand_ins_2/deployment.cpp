#include "deployment.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

constexpr char customer_port[] = ":8521";
constexpr char readiness_port[] = ":8523";
constexpr char store_port[] = ":8524";
constexpr char control_port[] = ":8526";
constexpr char executor_port[] = ":8529";
constexpr char proxy_port[] = ":8530";
constexpr char system_port[] = ":7000";
constexpr char metrics_port[] = ":7015";
constexpr std::size_t first_worker = 101;
constexpr char host[] = "press.example";
constexpr char key[] = "key-of-the-press";
constexpr char service[] = "pressroom";
constexpr int deadline_ms = 3000;

json make_route(std::string const& name, std::string const& prefix,
                int priority)
{
    return {{"Name", name},         {"Host", host},
            {"PathPrefix", prefix}, {"Kind", "non_idempotent"},
            {"TimeoutMs", 3000},    {"TargetRuntimeMs", 1000},
            {"Priority", priority}, {"Service", service},
            {"MaxAttempts", 3},     {"Stretch", 3.0},
            {"Public", false}};
}

/// Chooses a network on which nothing listens.
std::string choose_network()
{
    auto const first = static_cast<unsigned>(getpid());
    for (unsigned step = 0; step < 100; ++step) {
        auto const number = first + step * 7919;
        auto network = "127." + std::to_string(20 + number % 200) + "." +
                       std::to_string(number / 200 % 250);
        try {
            http_server const probe(
                network + ".250:8524",
                [](http_request const&) { return std::nullopt; });
            return network;
        } catch (std::runtime_error const&) {
            continue;
        }
    }
    throw std::runtime_error("no free network");
}

} // namespace

deployment::deployment(options settings, std::string const& record_path)
    : options_(std::move(settings)), log_(record_path),
      network_(choose_network())
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    write_configuration();
    for (std::size_t index = 0; index < options_.entries; ++index)
        add_entry(index);
    for (std::size_t index = 0; index < options_.workers.size(); ++index)
        add_worker(index);
}

deployment::~deployment()
{
    for (auto& target : entries_)
        kill(target);
    for (auto& target : agents_)
        kill(target);
    executors_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::machine(std::size_t number) const
{
    return network_ + "." + std::to_string(number);
}

std::string deployment::executor_address(std::size_t index) const
{
    return machine(first_worker + index) + executor_port;
}

std::string deployment::executor_proxy_address(std::size_t index) const
{
    return machine(first_worker + index) + proxy_port;
}

std::string deployment::write_file(std::string const& name,
                                   std::string const& text)
{
    auto path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void deployment::write_configuration()
{
    json const configuration{{"Version", 7},
                             {"Routes",
                              {make_route("r-urgent", urgent_prefix, 0),
                               make_route("r-patient", patient_prefix, 1)}},
                             {"Services",
                              {{{"Name", service},
                                {"HealthPath", "/healthz"},
                                {"MaxConns", 64},
                                {"RejectsOverload", false}}}},
                             {"Limits", {{"MaxBodyBytes", 262144}}},
                             {"Tenants",
                              {{{"Name", "press"},
                                {"ApiKeys", {key}},
                                {"Guaranteed", {{"Gpu", 0}}}}}}};
    store_.put("op", "config", configuration.dump());
}

void deployment::add_entry(std::size_t index)
{
    auto const ip = machine(1 + index);
    auto const store = ip + store_port;
    auto const settings = write_file(
        "entry-" + std::to_string(index),
        "[process]\nnode = frontend-" + std::to_string(index) +
            "\n\n[listen]\ncustomers = " + ip + customer_port +
            "\nreadiness = " + ip + readiness_port + "\nentries = " + ip +
            system_port + "\nmetrics = " + ip + metrics_port +
            "\n\n[store]\naddress = " + store +
            "\n\n[bounds]\nlease = 6000ms\nstop = 900ms\ngrace = 6s\n"
            "state_kept = 120s\n");
    entry_doors_.push_back(std::make_unique<store_door>(store_, store));
    entries_.push_back({{options_.binaries + "/sequoiaroute", "schedule",
                         "--settings=" + settings},
                        folder_ + "/entry-" + std::to_string(index) + ".log",
                        -1});
}

void deployment::add_worker(std::size_t index)
{
    auto const& worker = options_.workers[index];
    auto const ip = machine(first_worker + index);
    auto const store = ip + store_port;
    auto const settings = write_file(
        "agent-" + std::to_string(index),
        "[process]\nnode = side-" + std::to_string(index) +
            "\naddress = " + ip + "\n\n[listen]\nheartbeats = " + ip +
            control_port + "\nnotices = " + ip + system_port +
            "\nmetrics = " + ip + metrics_port + "\n\n[executor]\naddress = " +
            (worker.has_proxy ? executor_proxy_address(index)
                              : executor_address(index)) +
            "\n\n[store]\naddress = " + store +
            "\n\n[bounds]\nlease = 6000ms\nstop = 900ms\n");
    agent_doors_.push_back(std::make_unique<store_door>(store_, store));
    agents_.push_back({{options_.binaries + "/sequoiaroute-agent",
                        "--store_orders", "--settings=" + settings},
                       folder_ + "/agent-" + std::to_string(index) + ".log",
                       -1});
    executor::options executor_options;
    executor_options.address = executor_address(index);
    executor_options.control = ip + control_port;
    executor_options.service = service;
    executor_options.zone = "zone-a";
    executor_options.rack = worker.rack;
    executors_.push_back(
        std::make_unique<executor>(std::move(executor_options), log_));
}

void deployment::spawn(process& target)
{
    std::vector<char*> arguments;
    arguments.reserve(target.arguments.size() + 1);
    for (auto& argument : target.arguments)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    auto const parent = getpid();
    target.id = fork();
    if (target.id != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    int const output = open(target.output.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void deployment::kill(process& target)
{
    if (target.id <= 0)
        return;
    ::kill(target.id, SIGKILL);
    waitpid(target.id, nullptr, 0);
    target.id = -1;
}

void deployment::kill_entry(std::size_t index)
{
    kill(entries_[index]);
    log_.add("entry " + std::to_string(index) + " killed");
}

void deployment::kill_agent(std::size_t index)
{
    kill(agents_[index]);
    log_.add("agent " + std::to_string(index) + " killed");
}

void deployment::start_entry(std::size_t index)
{
    spawn(entries_[index]);
    log_.add("entry " + std::to_string(index) + " started");
}

void deployment::start_agent(std::size_t index)
{
    spawn(agents_[index]);
    log_.add("agent " + std::to_string(index) + " started");
}

bool deployment::start()
{
    constexpr std::int64_t start_limit = 15'000;
    constexpr std::int64_t lead = 3000;
    for (std::size_t index = 0; index < entries_.size(); ++index)
        start_entry(index);
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        start_agent(index);
        executors_[index]->begin("i-" + std::to_string(index) + "-first");
    }
    bool const is_up = wait_until(start_limit, [&] {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (call_http(machine(1 + index) + readiness_port, "GET",
                          "/sequoiaroute/readyz", {}, {}, 500)
                    .status != 200)
                return false;
        }
        for (auto const& target : executors_) {
            if (!target->is_acknowledged())
                return false;
        }
        return true;
    });
    sleep_ms(lead);
    log_.add(is_up ? "all are ready" : "not all became ready");
    return is_up;
}

http_result deployment::call(std::size_t entry, std::string const& method,
                             std::string const& path, std::string const& body)
{
    auto result = call_http(machine(1 + entry) + customer_port, method, path,
                            {{"Host", host},
                             {"Authorization", std::string("Bearer ") + key},
                             {"Content-Type", "application/json"},
                             {"X-Deadline-Ms", std::to_string(deadline_ms)}},
                            body, deadline_ms);
    log_.add(method + " " + path + " " + body + " at entry " +
             std::to_string(entry) + ": " + std::to_string(result.status) +
             " " + result.body);
    return result;
}

bool deployment::submit(std::string const& path, std::string const& body)
{
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        if (call(entry, "POST", path, body).status / 100 == 2)
            return true;
    }
    return false;
}

std::string deployment::state_of(std::string const& path)
{
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        auto const result = call(entry, "GET", path);
        if (result.status / 100 == 2)
            return json::parse(result.body, nullptr, false)
                .value("State", std::string());
    }
    return {};
}

std::vector<run_event> deployment::all_runs()
{
    std::vector<run_event> all;
    for (auto const& target : executors_) {
        auto const runs = target->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

bool wait_until(std::int64_t limit_ms, std::function<bool()> const& condition)
{
    constexpr std::int64_t period = 20;
    auto const until = now_ms() + limit_ms;
    while (!condition()) {
        if (now_ms() >= until)
            return false;
        sleep_ms(period);
    }
    return true;
}

void sleep_ms(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool has_trouble()
{
    char const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
