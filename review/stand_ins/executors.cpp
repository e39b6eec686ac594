#include "executors.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

task_behaviour parse_behaviour(std::string const& payload)
{
    task_behaviour behaviour;
    std::istringstream words(payload);
    std::string word;
    while (words >> word) {
        auto const mark = word.find('=');
        if (mark == std::string::npos)
            continue;
        auto const name = word.substr(0, mark);
        auto const number = std::stoll(word.substr(mark + 1));
        if (name == "ms")
            behaviour.run_ms = number;
        else if (name == "gang")
            behaviour.gang_size = static_cast<int>(number);
        else if (name == "fails")
            behaviour.failing_index = static_cast<int>(number);
        else if (name == "failing_runs")
            behaviour.failing_runs = number;
    }
    return behaviour;
}

/// @return the name of a task without its index, as its gang shares it
std::string step_of(std::string const& task)
{
    return task.substr(0, task.rfind('.'));
}

int index_of(std::string const& task)
{
    return std::stoi(task.substr(task.rfind('.') + 1));
}

bool fails(task_behaviour const& behaviour, run_entry const& run)
{
    return run.run <= behaviour.failing_runs &&
           (behaviour.failing_index == -2 ||
            behaviour.failing_index == index_of(run.task));
}

std::string describe(run_entry const& run)
{
    return run.task + "/" + std::to_string(run.run) + " on executor " +
           std::to_string(run.executor);
}

} // namespace

void executors::start(std::string const& ip, std::uint16_t port,
                      std::uint16_t control_port)
{
    std::size_t index = 0;
    {
        std::lock_guard const lock(mutex_);
        index = executors_.size();
        auto created = std::make_unique<executor>();
        created->ip = ip;
        created->port = port;
        created->control_port = control_port;
        created->id = "i-review" + std::to_string(100 + index);
        created->born_ms = unix_ms();
        created->started_ms = now_ms();
        executors_.push_back(std::move(created));
        if (!is_advancing_) {
            is_advancing_ = true;
            std::thread([this] {
                while (true) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    advance();
                }
            }).detach();
        }
    }
    serve_http(ip, port, [this, index](http_message const& request) {
        return handle(index, request);
    });
    std::thread([this, index] { send_heartbeats(index); }).detach();
}

std::vector<run_entry> executors::runs()
{
    std::lock_guard const lock(mutex_);
    return runs_;
}

std::string executors::id_of(std::size_t executor)
{
    std::lock_guard const lock(mutex_);
    return executors_[executor]->id;
}

std::string executors::ip_of(std::size_t executor)
{
    std::lock_guard const lock(mutex_);
    return executors_[executor]->ip;
}

void executors::send_heartbeats(std::size_t index)
{
    while (true) {
        http_message request;
        std::string ip;
        std::uint16_t port = 0;
        {
            std::lock_guard const lock(mutex_);
            auto& self = *executors_[index];
            ip = self.ip;
            port = self.control_port;
            request.method = "POST";
            request.path = "/sequoiaroute/Instances.Heartbeat/" + self.id;
            request.body = json{
                {"Service", options_.service},
                {"Addr", self.ip + ":" + std::to_string(self.port)},
                {"Zone", "zone-a"},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Capacity",
                 {{"Cpu", options_.cores * 1000},
                  {"MemMb", 524288},
                  {"Gpu", options_.accelerators}}},
                {"Labels",
                 {index == 0 ? options_.first_kind : std::string("a"),
                  "r1-" + std::to_string(index / 3)}},
                {"ClockMs", clock_of(self)},
                {"Seq", ++self.sequence},
                {"born",
                 self.born_ms}}.dump();
        }
        auto const answer = call_http(ip, port, request, 1000);
        bool const is_acknowledged = answer.status / 100 == 2;
        std::this_thread::sleep_for(std::chrono::milliseconds(
            is_acknowledged ? options_.heartbeat_ms : 200));
    }
}

http_message executors::handle(std::size_t index, http_message const& request)
{
    std::string expected;
    if (auto const found = request.headers.find("x-expect-instance");
        found != request.headers.end())
        expected = found->second;
    {
        std::lock_guard const lock(mutex_);
        if (!expected.empty() && expected != executors_[index]->id)
            return json_response(421, "{}");
    }
    if (request.path == "/sequoiaroute/run-start")
        return start_run(index, request);
    if (request.path == "/sequoiaroute/run-stop")
        return stop_run(index, request);
    if (request.path == "/sequoiaroute/hold")
        return hold(index, request);
    if (request.path == "/sequoiaroute/pace")
        return json_response(200, "{}");
    return json_response(404, "{}");
}

void executors::extend_lease(executor& target, std::int64_t deadline_ms)
{
    auto const longest = clock_of(target) + options_.hold_max_ms;
    auto const end = std::min(deadline_ms, longest);
    if (end <= clock_of(target))
        return;
    target.lease_end_ms = std::max(target.lease_end_ms, end);
    target.holds_lease = true;
}

http_message executors::start_run(std::size_t index,
                                  http_message const& request)
{
    auto const body = json::parse(request.body);
    auto const task = body.at("Task").get<std::string>();
    auto const run = body.at("Run").get<std::int64_t>();
    std::unique_lock lock(mutex_);
    auto& self = *executors_[index];
    auto const reject = [&](char const* reason) {
        return json_response(
            409, json{{"ClockMs", clock_of(self)}, {"Reason", reason}}.dump());
    };
    auto const deadline = body.at("DeadlineMs").get<std::int64_t>();
    if (deadline <= clock_of(self))
        return reject("late");
    extend_lease(self, deadline);
    auto const highest = self.highest_ended_run.find(task);
    if (highest != self.highest_ended_run.end() && run <= highest->second)
        return reject("old");
    auto const present = self.running.find(task);
    if (present != self.running.end()) {
        if (runs_[present->second.entry].run == run)
            return json_response(200, json{{"ClockMs", clock_of(self)}}.dump());
        return reject("old");
    }
    run_entry entry;
    entry.task = task;
    entry.run = run;
    entry.executor = index;
    entry.payload = body.at("Spec");
    entry.started_ms = now_ms();
    active_run active;
    active.entry = runs_.size();
    active.behaviour = parse_behaviour(entry.payload);
    if (active.behaviour.gang_size == 0)
        active.working_since = now_ms();
    runs_.push_back(entry);
    self.running[task] = active;
    record_.line("started " + describe(entry));
    auto const clock = clock_of(self);
    auto const callback = on_start_;
    lock.unlock();
    if (callback)
        callback(entry);
    return json_response(200, json{{"ClockMs", clock}}.dump());
}

http_message executors::stop_run(std::size_t index, http_message const& request)
{
    auto const body = json::parse(request.body);
    auto const task = body.at("Task").get<std::string>();
    auto const run = body.at("Run").get<std::int64_t>();
    std::lock_guard const lock(mutex_);
    auto& self = *executors_[index];
    auto& highest = self.highest_ended_run[task];
    highest = std::max(highest, run);
    auto const present = self.running.find(task);
    if (present != self.running.end() &&
        runs_[present->second.entry].run == run &&
        present->second.stops_at < 0) {
        present->second.stops_at = now_ms() + options_.stop_ms;
        record_.line("told to stop " + describe(runs_[present->second.entry]));
    }
    return json_response(200, json{{"ClockMs", clock_of(self)}}.dump());
}

http_message executors::hold(std::size_t index, http_message const& request)
{
    auto const body = json::parse(request.body);
    std::unique_lock lock(mutex_);
    auto& self = *executors_[index];
    if (body.contains("DeadlineMs"))
        extend_lease(self, body.at("DeadlineMs").get<std::int64_t>());
    auto const acknowledged = body.value("AckedUpto", std::int64_t{0});
    std::erase_if(self.ended, [&](listed_end const& end) {
        if (end.number > acknowledged)
            return false;
        auto& entry = runs_[end.entry];
        entry.noted_ms = now_ms();
        entry.has_lapsed_before_note = end.lapses != self.lapses;
        return true;
    });
    auto const wait = body.value("WaitMs", std::int64_t{0});
    ended_.wait_for(lock, std::chrono::milliseconds(wait),
                    [&] { return !self.ended.empty(); });
    json running = json::array();
    for (auto const& [task, active] : self.running) {
        auto const passed =
            active.working_since < 0 ? 0 : now_ms() - active.working_since;
        auto const percent = active.behaviour.run_ms == 0
                                 ? (active.working_since < 0 ? 0 : 100)
                                 : passed * 100 / active.behaviour.run_ms;
        running.push_back({task, runs_[active.entry].run, "",
                           std::clamp<std::int64_t>(percent, 0, 100), 1000});
    }
    json finished = json::array();
    for (auto const& end : self.ended) {
        auto const& entry = runs_[end.entry];
        if (finished.size() == 500)
            break;
        finished.push_back({end.number, entry.task, entry.run, entry.how, ""});
    }
    return json_response(200, json{{"ClockMs", clock_of(self)},
                                   {"born", self.born_ms},
                                   {"Running", running},
                                   {"Finished", finished}}
                                  .dump());
}

void executors::end_run(std::size_t index, std::string const& task,
                        std::string const& how)
{
    auto& self = *executors_[index];
    auto const found = self.running.find(task);
    auto& entry = runs_[found->second.entry];
    entry.how = how;
    entry.ended_ms = now_ms();
    auto& highest = self.highest_ended_run[task];
    highest = std::max(highest, entry.run);
    self.ended.push_back(
        {++self.last_number, found->second.entry, self.lapses});
    self.running.erase(found);
    record_.line("ended " + describe(entry) + ": " + how);
    ended_.notify_all();
}

void executors::advance()
{
    std::lock_guard const lock(mutex_);
    for (std::size_t index = 0; index < executors_.size(); ++index) {
        auto& self = *executors_[index];
        if (!self.holds_lease || clock_of(self) < self.lease_end_ms)
            continue;
        self.holds_lease = false;
        ++self.lapses;
        while (!self.running.empty())
            end_run(index, self.running.begin()->first, "lapsed");
    }
    advance_gangs();
    advance_single_runs();
}

void executors::advance_gangs()
{
    using member = std::pair<std::size_t, std::string>;
    std::map<std::pair<std::string, std::int64_t>, std::vector<member>> gangs;
    for (std::size_t index = 0; index < executors_.size(); ++index) {
        for (auto const& [task, active] : executors_[index]->running) {
            if (active.behaviour.gang_size > 0)
                gangs[{step_of(task), runs_[active.entry].run}].emplace_back(
                    index, task);
        }
    }
    for (auto const& [name, members] : gangs) {
        auto const& step = name.first;
        auto const number = name.second;
        bool const has_ended = std::any_of(
            runs_.begin(), runs_.end(), [&step, number](auto const& run) {
                return !run.how.empty() && run.run == number &&
                       step_of(run.task) == step;
            });
        if (has_ended) {
            for (auto const& [index, task] : members)
                end_run(index, task, "broken");
            continue;
        }
        for (auto const& [index, task] : members) {
            auto& active = executors_[index]->running.at(task);
            auto const& behaviour = active.behaviour;
            if (active.working_since < 0 &&
                members.size() == static_cast<std::size_t>(behaviour.gang_size))
                active.working_since = now_ms();
        }
        auto const& first =
            executors_[members[0].first]->running.at(members[0].second);
        bool const is_over =
            first.working_since >= 0 && first.behaviour.run_ms > 0 &&
            now_ms() - first.working_since >= first.behaviour.run_ms;
        auto const behaviour = first.behaviour;
        bool const has_failed =
            std::any_of(members.begin(), members.end(), [&](auto const& item) {
                auto const& active =
                    executors_[item.first]->running.at(item.second);
                return fails(behaviour, runs_[active.entry]);
            });
        for (auto const& [index, task] : members) {
            auto const& active = executors_[index]->running.at(task);
            if (is_over && !has_failed)
                end_run(index, task, "done");
            else if (is_over)
                end_run(index, task,
                        fails(behaviour, runs_[active.entry]) ? "failed"
                                                              : "broken");
            else if (active.stops_at >= 0 && now_ms() >= active.stops_at)
                end_run(index, task, "stopped");
            else if (active.working_since < 0 &&
                     now_ms() - runs_[active.entry].started_ms >
                         options_.gang_ms)
                end_run(index, task, "alone");
        }
    }
}

void executors::advance_single_runs()
{
    for (std::size_t index = 0; index < executors_.size(); ++index) {
        std::vector<std::pair<std::string, std::string>> ends;
        for (auto const& [task, active] : executors_[index]->running) {
            auto const& behaviour = active.behaviour;
            if (behaviour.gang_size > 0)
                continue;
            if (active.stops_at >= 0 && now_ms() >= active.stops_at)
                ends.emplace_back(task, "stopped");
            else if (behaviour.run_ms > 0 &&
                     now_ms() - active.working_since >= behaviour.run_ms)
                ends.emplace_back(task, fails(behaviour, runs_[active.entry])
                                            ? "failed"
                                            : "done");
        }
        for (auto const& [task, how] : ends)
            end_run(index, task, how);
    }
}

std::vector<std::string> check_twice(std::vector<run_entry> const& runs)
{
    std::map<std::string, std::vector<run_entry>> by_task;
    for (auto const& run : runs)
        by_task[run.task].push_back(run);
    std::vector<std::string> offences;
    for (auto const& [task, list] : by_task) {
        for (auto const& later : list) {
            for (auto const& earlier : list) {
                if (earlier.started_ms > later.started_ms ||
                    (earlier.run == later.run &&
                     earlier.executor == later.executor))
                    continue;
                bool const overlaps =
                    !earlier.ended_ms || *earlier.ended_ms > later.started_ms;
                bool const is_done_and_noted = earlier.how == "done" &&
                                               earlier.noted_ms &&
                                               !earlier.has_lapsed_before_note;
                if (overlaps)
                    offences.push_back(describe(later) + " began while " +
                                       describe(earlier) + " was running");
                else if (is_done_and_noted)
                    offences.push_back(describe(later) + " began after " +
                                       describe(earlier) +
                                       " had ended done, which was noted");
            }
        }
    }
    return offences;
}

std::vector<std::string> check_budget(std::vector<run_entry> const& runs,
                                      int max_attempts)
{
    std::vector<std::string> offences;
    for (auto const& later : runs) {
        int failures = 0;
        for (auto const& earlier : runs) {
            if (earlier.task == later.task && earlier.how == "failed" &&
                *earlier.ended_ms <= later.started_ms && earlier.noted_ms &&
                !earlier.has_lapsed_before_note)
                ++failures;
        }
        if (failures >= max_attempts)
            offences.push_back(describe(later) + " began after " +
                               std::to_string(failures) +
                               " runs of the task had ended failed, which "
                               "was noted");
    }
    return offences;
}

} // namespace review
