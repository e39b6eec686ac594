#include "deployment.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

constexpr char host[] = "review.example";
constexpr char key[] = "review-key";
constexpr char second_key[] = "review-key-2";

// The ports of a machine, counted from the first one.
constexpr int customers_port = 0;
constexpr int readiness_port = 1;
constexpr int notices_port = 2;
constexpr int metrics_port = 3;
constexpr int heartbeat_port = 4;
constexpr int executor_port = 5;
constexpr int store_port = 6;
constexpr int port_count = 7;

std::string entry_name(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

/// @return whether no process listens on the ports of a machine
bool are_ports_free(std::string const& ip, std::uint16_t first_port)
{
    for (int port = 0; port < port_count; ++port) {
        if (!can_listen(ip, static_cast<std::uint16_t>(first_port + port)))
            return false;
    }
    return true;
}

json configuration(deployment::options const& settings, std::uint64_t version,
                   std::vector<std::string> const& keys)
{
    json routes = json::array();
    for (auto const& queue : settings.queues) {
        routes.push_back({{"Name", "r" + std::to_string(routes.size())},
                          {"Host", host},
                          {"PathPrefix", queue.prefix},
                          {"Service", settings.workers.service},
                          {"Priority", queue.priority},
                          {"MaxAttempts", queue.max_attempts},
                          {"Stretch", 3.0},
                          {"TargetRuntimeMs", 3000}});
    }
    return {
        {"Version", version},
        {"Routes", routes},
        {"Services",
         {{{"Name", settings.workers.service}, {"RejectsOverload", false}}}},
        {"Tenants",
         {{{"Name", "press"},
           {"ApiKeys", keys},
           {"Guaranteed", {{"Gpu", 8}}}}}},
        {"Limits", {{"MaxBodyBytes", 262144}}}};
}

} // namespace

bool wait_until(std::int64_t time_ms, std::function<bool()> const& condition)
{
    auto const end = now_ms() + time_ms;
    while (now_ms() < end) {
        if (condition())
            return true;
        sleep_ms(20);
    }
    return condition();
}

deployment::deployment(record& output, options settings)
    : record_(output), options_(std::move(settings)),
      workers_(output, options_.workers)
{
    char pattern[] = "/tmp/sequoiaroute-review-XXXXXX";
    folder_ = mkdtemp(pattern);
    // Addresses and ports that other runs on this machine do not use.
    auto const number = static_cast<unsigned>(getpid());
    network_ = "127." + std::to_string(20 + number % 200);
    auto offset = number;
    do {
        first_port_ = static_cast<std::uint16_t>(12'000 + offset % 1'500 * 10);
        ++offset;
    } while (!are_ports_free(ip(0, 0), first_port_));
    control_port_ = static_cast<std::uint16_t>(first_port_ + heartbeat_port);
}

void deployment::stop()
{
    for (auto const* list : {&entries_, &agents_}) {
        for (auto const process : *list) {
            if (process <= 0)
                continue;
            kill(process, SIGCONT);
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder_);
}

std::string deployment::ip(int group, std::size_t machine) const
{
    return network_ + "." + std::to_string(group) + "." +
           std::to_string(10 + machine);
}

std::string deployment::write_settings(std::string const& name,
                                       std::string const& text)
{
    auto path = folder_ + "/" + name + ".ini";
    std::ofstream(path) << text;
    return path;
}

pid_t deployment::run_program(std::vector<std::string> const& command,
                              std::string const& log_name)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto const& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    auto const log = folder_ + "/" + log_name + ".log";
    auto const process = fork();
    if (process == 0) {
        // The process ends with this one, however this one ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const output =
            open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    return process;
}

void deployment::start_entry(std::size_t entry)
{
    auto const address = [&](int port) {
        return ip(1, entry) + ":" + std::to_string(first_port_ + port);
    };
    auto const name = entry_name(entry);
    auto const settings = write_settings(
        name, "[process]\nnode = " + name +
                  "\n[listen]\ncustomers = " + address(customers_port) +
                  "\nreadiness = " + address(readiness_port) +
                  "\nentries = " + address(notices_port) +
                  "\nmetrics = " + address(metrics_port) +
                  "\n[store]\naddress = " + ip(0, 1 + entry) + ":" +
                  std::to_string(first_port_ + store_port) +
                  "\n[bounds]\nlease = 6000ms\nstop = 900ms\ngrace = 6s\n"
                  "state_kept = 120s\n");
    entries_[entry] = run_program({"target/packages/programs/sequoiaroute",
                                   "schedule", "--settings=" + settings},
                                  name);
}

void deployment::start_agent(std::size_t agent)
{
    auto const address = [&](int port) {
        return ip(2, agent) + ":" + std::to_string(first_port_ + port);
    };
    auto const name = "agent-" + std::to_string(agent);
    auto const settings = write_settings(
        name, "[process]\nnode = " + name + "\naddress = " + ip(2, agent) +
                  "\n[listen]\nheartbeats = " + address(heartbeat_port) +
                  "\nnotices = " + address(notices_port) +
                  "\nmetrics = " + address(metrics_port) +
                  "\n[executor]\naddress = " + address(executor_port) +
                  "\n[store]\naddress = " + ip(0, 0) + ":" +
                  std::to_string(first_port_ + store_port) +
                  "\n[bounds]\nlease = 6000ms\nstop = 900ms\n");
    agents_[agent] = run_program({"target/packages/programs/sequoiaroute-agent",
                                  "--store_orders", "--settings=" + settings},
                                 name);
}

bool deployment::start()
{
    auto const port = static_cast<std::uint16_t>(first_port_ + store_port);
    store_.start(ip(0, 0), port, "agents");
    for (std::size_t entry = 0; entry < options_.entries; ++entry)
        store_.start(ip(0, 1 + entry), port, entry_name(entry));
    store_.put(
        "op", "config",
        configuration(options_, configuration_version_, {key, second_key})
            .dump());
    entries_.resize(options_.entries, 0);
    agents_.resize(options_.agents, 0);
    for (std::size_t entry = 0; entry < options_.entries; ++entry)
        start_entry(entry);
    for (std::size_t agent = 0; agent < options_.agents; ++agent) {
        start_agent(agent);
        workers_.start(ip(2, agent),
                       static_cast<std::uint16_t>(first_port_ + executor_port),
                       control_port_);
    }
    bool const is_ready = wait_until(15'000, [&] {
        http_message request;
        request.method = "GET";
        request.path = "/sequoiaroute/readyz";
        for (std::size_t entry = 0; entry < options_.entries; ++entry) {
            if (call_http(
                    ip(1, entry),
                    static_cast<std::uint16_t>(first_port_ + readiness_port),
                    request, 1000)
                    .status != 200)
                return false;
        }
        return true;
    });
    // The executors' heartbeats and the agents' reports follow.
    sleep_ms(4000);
    record_.line(is_ready ? "the entries are ready"
                          : "the entries are not "
                            "ready");
    return is_ready;
}

http_message deployment::call_entry(std::string const& method,
                                    std::string const& path,
                                    std::string const& body)
{
    http_message request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", host},
                       {"Authorization", std::string("Bearer ") + key},
                       {"X-Deadline-Ms", "3000"}};
    request.body = body;
    // Retries reach other entries, as the platform's balancer does it.
    auto const entry = next_entry_++ % options_.entries;
    return call_http(ip(1, entry),
                     static_cast<std::uint16_t>(first_port_ + customers_port),
                     request, 3000);
}

int deployment::submit(std::string const& prefix, std::string const& job,
                       std::string const& body)
{
    auto const path = prefix + job;
    int status = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
        record_.line("client sends POST " + path);
        status = call_entry("POST", path, body).status;
        record_.line(fmt::format("client gets {} for POST {}", status, path));
        if (status / 100 == 2)
            break;
        sleep_ms(500);
    }
    return status;
}

std::string deployment::state_of(std::string const& prefix,
                                 std::string const& job)
{
    auto const answer = call_entry("GET", prefix + job, "");
    auto const body = json::parse(answer.body, nullptr, false);
    auto state =
        body.is_object() ? body.value("State", std::string()) : std::string();
    if (state.empty())
        state = "unknown, status " + std::to_string(answer.status);
    record_.line("client gets " + std::to_string(answer.status) + " " + state +
                 " for GET " + prefix + job);
    return state;
}

std::size_t deployment::deciding_entry()
{
    auto const lease = json::parse(
        store_.value_of("sequoiaroute-work", "work", "lease"), nullptr, false);
    auto const holder = lease.is_object() ? lease.value("holder", "") : "";
    auto const dash = holder.rfind('-');
    return dash == std::string::npos ? 0 : std::stoul(holder.substr(dash + 1));
}

void deployment::set_second_key(bool is_valid)
{
    configuration_version_ += 2;
    std::vector<std::string> keys{key};
    if (is_valid)
        keys.emplace_back(second_key);
    store_.put("op", "config",
               configuration(options_, configuration_version_, keys).dump());
    record_.line(is_valid ? "the operator added the second key"
                          : "the operator took the second key away");
}

int deployment::submit_once(std::size_t entry, std::string const& prefix,
                            std::string const& job, std::string const& body)
{
    http_message request;
    request.method = "POST";
    request.path = prefix + job;
    request.headers = {{"Host", host},
                       {"Authorization", std::string("Bearer ") + second_key},
                       {"X-Deadline-Ms", "3000"}};
    request.body = body;
    record_.line(
        fmt::format("client sends POST {} to entry-{}", request.path, entry));
    auto const answer = call_http(
        ip(1, entry), static_cast<std::uint16_t>(first_port_ + customers_port),
        request, 3000);
    record_.line(
        fmt::format("client gets {} for POST {}", answer.status, request.path));
    return answer.status;
}

std::size_t deployment::newest_entry()
{
    auto const newest = store_.newest_key("sequoiaroute-entries");
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
        if (newest.starts_with(ip(1, entry) + ":"))
            return entry;
    }
    return options_.entries;
}

void deployment::set_entry_refused(std::size_t entry, bool is_refused)
{
    store_.set_refused(entry_name(entry), is_refused);
    record_.line(fmt::format("the store {} entry-{}",
                             is_refused ? "turns away" : "serves", entry));
}

void deployment::signal_entry(std::size_t entry, int signal_number)
{
    kill(entries_[entry], signal_number);
    record_.line(
        fmt::format("sent signal {} to entry-{}", signal_number, entry));
}

void deployment::kill_entry(std::size_t entry)
{
    kill(entries_[entry], SIGKILL);
    waitpid(entries_[entry], nullptr, 0);
    entries_[entry] = 0;
    record_.line("killed entry-" + std::to_string(entry));
}

void deployment::restart_entry(std::size_t entry)
{
    record_.line("started entry-" + std::to_string(entry) + " again");
    start_entry(entry);
}

void deployment::signal_agent(std::size_t agent, int signal_number)
{
    kill(agents_[agent], signal_number);
    record_.line("sent signal " + std::to_string(signal_number) + " to agent-" +
                 std::to_string(agent));
}

} // namespace review
