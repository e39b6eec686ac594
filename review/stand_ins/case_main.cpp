#include "deployment.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

constexpr char prefix[] = "/proofs/";
constexpr char service[] = "pressroom";
constexpr std::int64_t finish_ms = 14'000;

/// A case: whether the trouble is made, and what it needs.
struct context
{
    record& output;
    bool has_trouble;
    std::unique_ptr<deployment> site;

    deployment& create_site(deployment::options settings)
    {
        site = std::make_unique<deployment>(output, std::move(settings));
        return *site;
    }
};

deployment::options small_deployment(int max_attempts)
{
    deployment::options settings;
    settings.queues = {{prefix, 1, max_attempts}};
    settings.workers.service = service;
    return settings;
}

std::string job_body(std::string const& payload, json const& step)
{
    return json{{"Spec", payload}, {"Steps", {step}}}.dump();
}

/// Prints and records the offences.
int conclude(context& run, std::vector<std::string> const& offences)
{
    constexpr std::size_t max_printed = 12;
    for (std::size_t index = 0; index < std::min(offences.size(), max_printed);
         ++index) {
        run.output.line("BROKEN: " + offences[index]);
        std::cout << "broken: " << offences[index] << "\n";
    }
    auto const summary =
        std::to_string(offences.size()) + " offences against the rule";
    run.output.line(summary);
    std::cout << summary << "\n";
    return offences.empty() ? held : broken;
}

int fail_to_run(context& run, std::string const& reason)
{
    run.output.line("the case could not run: " + reason);
    std::cout << "could not run: " << reason << "\n";
    return could_not_run;
}

std::optional<run_entry> find_run(deployment& site, std::string const& task)
{
    for (auto const& run : site.workers().runs()) {
        if (run.task == task)
            return run;
    }
    return std::nullopt;
}

bool wait_for_state(deployment& site, std::string const& job,
                    std::string const& state, std::int64_t time_ms)
{
    auto const end = now_ms() + time_ms;
    while (now_ms() < end) {
        if (site.state_of(prefix, job) == state)
            return true;
        sleep_ms(500);
    }
    return false;
}

/// Checks the rule LOST as written, for a job of one task on a service with
/// much idle capacity.
/// @param judged_from the end of `finish_s` after the last job was handed in
/// @return the times of 3 s or more in which nothing of the job was running
std::vector<std::string> find_idle_times(deployment& site,
                                         std::string const& job,
                                         std::int64_t judged_from)
{
    constexpr std::int64_t allowed_ms = 3000;
    auto const now = now_ms();
    std::vector<std::string> offences;
    auto idle_since = judged_from;
    auto const check = [&](std::int64_t until) {
        if (until - idle_since >= allowed_ms)
            offences.push_back("nothing of job " + job + " was running from " +
                               std::to_string(idle_since) + " ms to " +
                               std::to_string(until) + " ms");
    };
    for (auto const& entry : site.workers().runs()) {
        if (!entry.task.starts_with(job))
            continue;
        if (entry.how == "done")
            return offences;
        check(entry.started_ms);
        idle_since = std::max(judged_from, entry.ended_ms.value_or(now));
    }
    check(now);
    return offences;
}

/// A heartbeat from another writer, with a service that no configuration names,
/// reaches the agent beside a running task.
int run_foreign_heartbeat(context& run)
{
    auto& site = run.create_site(small_deployment(2));
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const job = "a1b2c3d4e5f60718";
    if (site.submit(prefix, job,
                    job_body("ms=9000", {{"Count", 1},
                                         {"Cpu", 16000},
                                         {"MemMb", 1000},
                                         {"Gpu", 8},
                                         {"EstimateMs", 9000}})) != 200)
        return fail_to_run(run, "the job was not accepted");
    if (!wait_until(5000,
                    [&] { return find_run(site, job + ".0.0.0").has_value(); }))
        return fail_to_run(run, "the task did not start");
    sleep_ms(2000);
    auto const executor = find_run(site, job + ".0.0.0")->executor;
    if (run.has_trouble) {
        http_message heartbeat;
        heartbeat.method = "POST";
        heartbeat.path = "/sequoiaroute/Instances.Heartbeat/i-another";
        heartbeat.body = json{
            {"Service", "not-named-in-any-configuration"},
            {"Addr", site.workers().ip_of(executor) + ":9"},
            {"Zone", "zone-a"},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdLeftMs", 0},
            {"Capacity", {{"Cpu", 1000}, {"MemMb", 1024}, {"Gpu", 0}}},
            {"Labels", {"a", "r1-0"}},
            {"ClockMs", 1000},
            {"Seq", 1},
            {"born",
             unix_ms()}}.dump();
        auto const answer = call_http(site.workers().ip_of(executor),
                                      site.control_port(), heartbeat, 1000);
        run.output.line("a heartbeat of another writer reached the agent of "
                        "executor " +
                        std::to_string(executor) + ", answered " +
                        std::to_string(answer.status));
    }
    wait_for_state(site, job, "completed", 40'000);
    sleep_ms(1000);
    return conclude(run, check_twice(site.workers().runs()));
}

/// The deciding entry is killed as the first task of a large job starts.
int run_large_job(context& run)
{
    auto settings = small_deployment(2);
    auto& site = run.create_site(settings);
    std::atomic<bool> is_killed{!run.has_trouble};
    std::atomic<std::size_t> killed_entry{0};
    site.workers().on_start([&](run_entry const&) {
        if (is_killed.exchange(true))
            return;
        killed_entry = site.deciding_entry();
        site.kill_entry(killed_entry);
    });
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const job = "b1b2c3d4e5f60718";
    if (site.submit(prefix, job,
                    job_body("ms=600", {{"Count", 600},
                                        {"Cpu", 2000},
                                        {"MemMb", 1000},
                                        {"EstimateMs", 600}})) != 200)
        return fail_to_run(run, "the job was not accepted");
    if (!wait_until(5000, [&] { return is_killed.load(); }))
        return fail_to_run(run, "no task started");
    if (run.has_trouble) {
        sleep_ms(1000);
        site.restart_entry(killed_entry);
    }
    wait_for_state(site, job, "completed", 40'000);
    sleep_ms(2000);
    return conclude(run, check_twice(site.workers().runs()));
}

/// The agent of a gang member is frozen while the member fails.
int run_gang_attempts(context& run)
{
    constexpr int max_attempts = 1;
    constexpr std::int64_t freeze_ms = 3500;
    auto& site = run.create_site(small_deployment(max_attempts));
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const job = "c1b2c3d4e5f60718";
    if (site.submit(prefix, job,
                    job_body("ms=4000 gang=2 fails=1", {{"Count", 2},
                                                        {"Cpu", 16000},
                                                        {"MemMb", 1000},
                                                        {"Gpu", 8},
                                                        {"EstimateMs", 4000},
                                                        {"Gang", true}})) !=
        200)
        return fail_to_run(run, "the job was not accepted");
    if (!wait_until(5000, [&] {
            return find_run(site, job + ".0.0.0") &&
                   find_run(site, job + ".0.0.1");
        }))
        return fail_to_run(run, "the gang did not start");
    sleep_ms(3500);
    auto const executor = find_run(site, job + ".0.0.1")->executor;
    if (run.has_trouble) {
        site.signal_agent(executor, SIGSTOP);
        sleep_ms(freeze_ms);
        site.signal_agent(executor, SIGCONT);
    }
    sleep_ms(12'000);
    site.state_of(prefix, job);
    return conclude(run, check_budget(site.workers().runs(), max_attempts));
}

/// Both members of a gang fail once; the agent of one of them is frozen, and
/// the deciding entry is killed meanwhile.
int run_gang_failure(context& run)
{
    constexpr int max_attempts = 2;
    constexpr std::int64_t freeze_ms = 3500;
    auto& site = run.create_site(small_deployment(max_attempts));
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const job = "d1b2c3d4e5f60718";
    if (site.submit(prefix, job,
                    job_body("ms=4000 gang=2 fails=-2 failing_runs=1",
                             {{"Count", 2},
                              {"Cpu", 16000},
                              {"MemMb", 1000},
                              {"Gpu", 8},
                              {"EstimateMs", 4000},
                              {"Gang", true}})) != 200)
        return fail_to_run(run, "the job was not accepted");
    if (!wait_until(5000, [&] {
            return find_run(site, job + ".0.0.0") &&
                   find_run(site, job + ".0.0.1");
        }))
        return fail_to_run(run, "the gang did not start");
    sleep_ms(3500);
    auto const executor = find_run(site, job + ".0.0.1")->executor;
    if (run.has_trouble) {
        site.signal_agent(executor, SIGSTOP);
        wait_until(
            2000, [&] { return !find_run(site, job + ".0.0.0")->how.empty(); });
        sleep_ms(400);
        auto const entry = site.deciding_entry();
        site.kill_entry(entry);
        sleep_ms(1000);
        site.restart_entry(entry);
        sleep_ms(freeze_ms - 1900);
        site.signal_agent(executor, SIGCONT);
    }
    sleep_ms(15'000);
    auto const state = site.state_of(prefix, job);
    std::map<std::string, int> failures;
    int most = 0;
    for (auto const& entry : site.workers().runs()) {
        if (entry.how == "failed")
            most = std::max(most, ++failures[entry.task]);
    }
    std::vector<std::string> offences;
    if (state == "failed" && most < max_attempts)
        offences.push_back("the job is shown as failed after " +
                           std::to_string(most) +
                           " failed run of each task, with MaxAttempts " +
                           std::to_string(max_attempts));
    return conclude(run, offences);
}

/// Hands a job in once at an entry that the store turns away, while the entry
/// to which it relays calls first is frozen and the customer's key is taken
/// away.
/// @return the offence; nullopt if the rule held
std::optional<std::string> refuse_relayed_job(context& run, deployment& site,
                                              std::string const& job)
{
    constexpr std::int64_t freeze_ms = 3500;
    // The entry that registered last is the first to which calls are relayed.
    auto const before = site.newest_entry();
    wait_until(5000, [&] { return site.newest_entry() != before; });
    sleep_ms(1500);
    auto const frozen = site.newest_entry();
    auto const refused = (frozen + 1) % 3;
    if (run.has_trouble) {
        site.signal_entry(frozen, SIGSTOP);
        site.set_entry_refused(refused, true);
    }
    auto const frozen_at = now_ms();
    // By then the poll that the frozen entry had sent has been answered.
    sleep_ms(1300);
    site.set_second_key(false);
    sleep_ms(500);
    auto const status =
        site.submit_once(refused, prefix, job,
                         job_body("ms=1000", {{"Count", 1},
                                              {"Cpu", 16000},
                                              {"MemMb", 1000},
                                              {"Gpu", 1},
                                              {"EstimateMs", 1000}}));
    if (run.has_trouble) {
        sleep_ms(frozen_at + freeze_ms - now_ms());
        site.signal_entry(frozen, SIGCONT);
        sleep_ms(1500);
        site.set_entry_refused(refused, false);
    }
    sleep_ms(4000);
    if (status / 100 == 4 && find_run(site, job + ".0.0.0"))
        return "the only attempt to hand job " + job + " in was answered " +
               std::to_string(status) + ", and its task ran";
    return std::nullopt;
}

/// The disruption comes up to five times.
int run_relayed_refusal(context& run)
{
    constexpr int rounds = 5;
    auto& site = run.create_site(small_deployment(2));
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::vector<std::string> offences;
    for (int round = 0; round < rounds && offences.empty(); ++round) {
        auto const job = "b8b2c3d4e5f6071" + std::to_string(round);
        if (auto offence = refuse_relayed_job(run, site, job))
            offences.push_back(std::move(*offence));
        site.set_second_key(true);
        sleep_ms(2000);
    }
    return conclude(run, offences);
}

/// A job that needs whole executors waits beside tasks that last.
int run_starvation(context& run)
{
    auto settings = small_deployment(2);
    auto const agents = settings.agents;
    auto& site = run.create_site(settings);
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const lasting = "e1b2c3d4e5f60718";
    site.submit(prefix, lasting,
                job_body("ms=0", {{"Count", agents},
                                  {"Cpu", 4000},
                                  {"MemMb", 1000},
                                  {"Gpu", 1},
                                  {"EstimateMs", 5000},
                                  {"LongRunning", true},
                                  {"MaxPerServer", 1}}));
    if (!wait_until(8000,
                    [&] { return site.workers().runs().size() >= agents; }))
        return fail_to_run(run, "the lasting tasks did not start");
    if (run.has_trouble)
        site.submit(prefix, "e2b2c3d4e5f60718",
                    job_body("ms=2000", {{"Count", agents},
                                         {"Cpu", 16000},
                                         {"MemMb", 1000},
                                         {"Gpu", 8},
                                         {"EstimateMs", 2000}}));
    sleep_ms(4000);
    std::string const small = "e3b2c3d4e5f60718";
    if (site.submit(prefix, small,
                    job_body("ms=2000", {{"Count", 1},
                                         {"Cpu", 4000},
                                         {"MemMb", 1000},
                                         {"Gpu", 1},
                                         {"EstimateMs", 2000}})) != 200)
        return fail_to_run(run, "the small job was not accepted");
    auto const judged_from = now_ms() + finish_ms;
    while (now_ms() < judged_from + 10'000) {
        site.state_of(prefix, small);
        sleep_ms(2000);
    }
    return conclude(run, find_idle_times(site, small, judged_from));
}

/// More tasks than an executor lists at a time end on it while the store is
/// down.
int run_small_tasks(context& run)
{
    constexpr std::int64_t task_ms = 6000;
    constexpr std::int64_t outage_ms = 4500;
    auto& site = run.create_site(small_deployment(2));
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const job = "f1b2c3d4e5f60718";
    constexpr std::size_t count = 1000;
    if (site.submit(prefix, job,
                    job_body("ms=" + std::to_string(task_ms),
                             {{"Count", count},
                              {"Cpu", 200},
                              {"MemMb", 64},
                              {"EstimateMs", task_ms}})) != 200)
        return fail_to_run(run, "the job was not accepted");
    if (!wait_until(5000,
                    [&] { return site.workers().runs().size() >= count; }))
        return fail_to_run(run, "the tasks did not start");
    sleep_ms(4000);
    if (run.has_trouble) {
        run.output.line("the store is down");
        site.store().set_down(true);
        sleep_ms(outage_ms);
        site.store().set_down(false);
        run.output.line("the store is up again");
    }
    wait_for_state(site, job, "completed", 60'000);
    sleep_ms(2000);
    return conclude(run, check_twice(site.workers().runs()));
}

/// A job's task takes much longer than declared.
int run_wrong_estimate(context& run)
{
    constexpr std::int64_t task_ms = 400'000;
    constexpr std::int64_t wrong_estimate_ms = 20'000;
    auto settings = small_deployment(2);
    settings.workers.first_kind = "b";
    auto& site = run.create_site(settings);
    if (!site.start())
        return fail_to_run(run, "the system did not become ready");
    std::string const job = "a7b2c3d4e5f60718";
    if (site.submit(prefix, job,
                    job_body("ms=" + std::to_string(task_ms),
                             {{"Count", 1},
                              {"Cpu", 16000},
                              {"MemMb", 1000},
                              {"Gpu", 1},
                              {"RequiredLabel", "b"},
                              {"EstimateMs", run.has_trouble ? wrong_estimate_ms
                                                             : task_ms}})) !=
        200)
        return fail_to_run(run, "the job was not accepted");
    auto const judged_from = now_ms() + finish_ms;
    sleep_ms(finish_ms + 45'000);
    site.state_of(prefix, job);
    return conclude(run, find_idle_times(site, job, judged_from));
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count != 3) {
        std::cerr << "usage: review_case CASE RECORD_FILE\n";
        return review::could_not_run;
    }
    review::now_ms();
    auto const* const trouble = std::getenv("TROUBLE");
    review::record output(arguments[2]);
    review::context run{
        output, trouble == nullptr || std::string(trouble) != "0", nullptr};
    std::map<std::string, std::function<int(review::context&)>> const cases{
        {"foreign_heartbeat", review::run_foreign_heartbeat},
        {"large_job", review::run_large_job},
        {"gang_attempts", review::run_gang_attempts},
        {"gang_failure", review::run_gang_failure},
        {"small_tasks", review::run_small_tasks},
        {"wrong_estimate", review::run_wrong_estimate},
        {"relayed_refusal", review::run_relayed_refusal},
        {"starvation", review::run_starvation}};
    auto const found = cases.find(arguments[1]);
    if (found == cases.end())
        return review::could_not_run;
    auto const result = found->second(run);
    std::cout.flush();
    if (run.site != nullptr)
        run.site->stop();
    // The threads of the stand-ins are still serving.
    std::_Exit(result);
}
