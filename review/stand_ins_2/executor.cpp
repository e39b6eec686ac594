#include "executor.hpp"

#include <algorithm>
#include <cstdlib>

namespace review {

using nlohmann::json;

namespace {

constexpr std::int64_t heartbeat_period = 1500;
constexpr auto tick = std::chrono::milliseconds(10);
constexpr std::size_t most_listed_ends = 500;

} // namespace

executor::executor(options settings, record& log)
    : options_(std::move(settings)), log_(log), worker_([this] { work(); }),
      heart_([this] { send_heartbeats(); })
{
}

executor::~executor()
{
    is_stopping_ = true;
    worker_.join();
    heart_.join();
    crash();
}

void executor::begin(std::string const& id)
{
    {
        std::lock_guard const lock(mutex_);
        id_ = id;
        born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
        began_at_ = now_ms();
        deadline_ = 0;
        last_number_ = 0;
        sequence_ = 0;
        refused_.clear();
        ends_.clear();
    }
    is_draining_ = false;
    is_acknowledged_ = false;
    server_ = std::make_unique<http_server>(
        options_.address,
        [this](http_request const& request) { return serve(request); });
    is_up_ = true;
    is_heartbeat_due_ = true;
    log_.add("executor " + id + " begins");
}

void executor::end_all_runs()
{
    std::lock_guard const lock(mutex_);
    for (auto const& [task, run] : running_) {
        events_[run.event].ended_at = now_ms();
        events_[run.event].how = "crashed";
    }
    running_.clear();
    ends_.clear();
    log_.add("executor " + id_ + " ends");
}

void executor::crash()
{
    if (is_up_.exchange(false))
        end_all_runs();
    ended_.notify_all();
    server_.reset();
}

void executor::go_dark()
{
    is_dark_ = true;
    if (is_up_.exchange(false))
        end_all_runs();
    ended_.notify_all();
}

void executor::drain(std::int64_t remaining_ms)
{
    std::lock_guard const lock(mutex_);
    remaining_ms_ = remaining_ms;
    leaves_at_ = now_ms() + remaining_ms;
    is_draining_ = true;
    is_heartbeat_due_ = true;
    log_.add("executor " + id_ + " drains");
}

std::vector<run_event> executor::runs()
{
    std::lock_guard const lock(mutex_);
    return events_;
}

std::size_t executor::running_count()
{
    std::lock_guard const lock(mutex_);
    return running_.size();
}

std::int64_t executor::clock() const
{
    // Two percent slow, as a clock of an executor may be.
    return 1000 + (now_ms() - began_at_) * 50 / 51;
}

http_response executor::make_reply(int status, json body) const
{
    body["ClockMs"] = clock();
    return {status, body.dump()};
}

std::optional<http_response> executor::serve(http_request const& request)
{
    std::unique_lock lock(mutex_);
    if (!is_up_)
        return std::nullopt;
    auto const expected = request.header("x-expect-instance");
    if (!expected.empty() && expected != id_) {
        log_.add("call " + request.path + " " + request.body + " refused: 421");
        return make_reply(421, json::object());
    }
    auto const call = json::parse(request.body, nullptr, false);
    if (!call.is_object())
        return http_response{400, "{}"};
    if (request.path == "/sequoiaroute/run-start")
        return start(call);
    if (request.path == "/sequoiaroute/run-stop")
        return stop(call);
    if (request.path == "/sequoiaroute/hold")
        return hold(call, lock);
    if (request.path == "/sequoiaroute/pace")
        return make_reply(200, json::object());
    return http_response{404, "{}"};
}

void executor::extend_lease(json const& call)
{
    if (!call.contains("DeadlineMs"))
        return;
    auto const longest = clock() + options_.hold_max_ms;
    deadline_ = std::max(
        deadline_, std::min(longest, call["DeadlineMs"].get<std::int64_t>()));
}

http_response executor::start(json const& call)
{
    auto const task = call.value("Task", "");
    auto const run = call.value("Run", std::int64_t{0});
    auto const log_start = [&](std::string const& result) {
        log_.add("start of " + task + " run " + std::to_string(run) + " on " +
                 id_ + ": " + result);
    };
    if (auto const found = running_.find(task);
        found != running_.end() && events_[found->second.event].run == run) {
        extend_lease(call);
        log_start("there already");
        return make_reply(200, json::object());
    }
    if (running_.contains(task) ||
        (refused_.contains(task) && run <= refused_[task])) {
        extend_lease(call);
        log_start("409 old");
        return make_reply(409, {{"Reason", "old"}});
    }
    if (call.value("DeadlineMs", std::int64_t{0}) <= clock()) {
        log_start("409 late");
        return make_reply(409, {{"Reason", "late"}});
    }
    extend_lease(call);
    auto const spec = call.value("Spec", "");
    running_[task] = {events_.size(),
                      now_ms() + std::strtol(spec.c_str(), nullptr, 10), 0};
    events_.push_back({task, run, id_, now_ms(), 0, "", 0, false});
    log_start("begins");
    return make_reply(200, json::object());
}

http_response executor::stop(json const& call)
{
    auto const task = call.value("Task", "");
    auto const run = call.value("Run", std::int64_t{0});
    log_.add("stop of " + task + " run " + std::to_string(run) + " on " + id_);
    if (auto const found = running_.find(task); found != running_.end()) {
        if (events_[found->second.event].run <= run &&
            found->second.stops_at == 0)
            found->second.stops_at = now_ms() + options_.stop_ms;
    }
    refused_[task] = std::max(refused_[task], run);
    return make_reply(200, json::object());
}

std::optional<http_response> executor::hold(json const& call,
                                            std::unique_lock<std::mutex>& lock)
{
    extend_lease(call);
    auto const acknowledged = call.value("AckedUpto", std::int64_t{0});
    std::erase_if(ends_, [&](listed_end const& item) {
        if (item.number > acknowledged)
            return false;
        auto& event = events_[item.event];
        event.is_noted = !item.has_lapsed;
        log_.add("end " + std::to_string(item.number) + " of " + id_ + ", " +
                 event.task + " run " + std::to_string(event.run) +
                 ", forgotten on AckedUpto " + std::to_string(acknowledged));
        return true;
    });
    auto const wait =
        std::chrono::milliseconds(call.value("WaitMs", std::int64_t{0}));
    auto const id = id_;
    ended_.wait_for(lock, wait, [&] {
        return !ends_.empty() || !is_up_ || id != id_ || is_stopping_;
    });
    if (!is_up_ || id != id_)
        return std::nullopt;
    json running = json::array();
    for (auto const& [task, run] : running_) {
        auto const& event = events_[run.event];
        auto const whole =
            std::max<std::int64_t>(run.ends_at - event.began_at, 1);
        auto const percent = (now_ms() - event.began_at) * 100 / whole;
        running.push_back(
            {task, event.run, "", std::clamp<std::int64_t>(percent, 0, 99), 0});
    }
    json finished = json::array();
    for (auto const& item : ends_) {
        if (finished.size() == most_listed_ends)
            break;
        auto const& event = events_[item.event];
        finished.push_back({item.number, event.task, event.run, event.how, ""});
    }
    return make_reply(
        200,
        {{"Running", running}, {"Finished", finished}, {"born", born_ms_}});
}

void executor::end(std::string const& task, std::string const& how)
{
    auto const found = running_.find(task);
    auto& event = events_[found->second.event];
    event.ended_at = now_ms();
    event.how = how;
    event.number = ++last_number_;
    ends_.push_back({event.number, found->second.event, how == "lapsed"});
    refused_[task] = std::max(refused_[task], event.run);
    running_.erase(found);
    log_.add("end " + std::to_string(event.number) + " of " + id_ + ": " +
             task + " run " + std::to_string(event.run) + " " + how);
    ended_.notify_all();
}

void executor::work()
{
    while (!is_stopping_) {
        std::this_thread::sleep_for(tick);
        bool is_leaving = false;
        {
            std::lock_guard const lock(mutex_);
            if (!is_up_)
                continue;
            bool const has_lapsed = clock() > deadline_;
            for (auto& item : ends_)
                item.has_lapsed = item.has_lapsed || has_lapsed;
            for (auto next = running_.begin(); next != running_.end();) {
                auto const current = next++;
                auto const task = current->first;
                if (has_lapsed)
                    end(task, "lapsed");
                else if (now_ms() >= current->second.ends_at)
                    end(task, "done");
                else if (current->second.stops_at > 0 &&
                         now_ms() >= current->second.stops_at)
                    end(task, "stopped");
            }
            is_leaving = is_draining_ && now_ms() >= leaves_at_;
        }
        if (!is_leaving)
            continue;
        call_http(options_.control, "POST",
                  "/sequoiaroute/Instances.Deregister/" + id_,
                  {{"Content-Type", "application/json"}},
                  json{{"born", born_ms_}}.dump(), 1000);
        log_.add("executor " + id_ + " has deregistered");
        crash();
        has_left_ = true;
    }
}

std::string executor::describe()
{
    std::lock_guard const lock(mutex_);
    json message{{"Service", options_.service},
                 {"Addr", options_.address},
                 {"Zone", options_.zone},
                 {"Version", "v1"},
                 {"Slots", 8},
                 {"State", is_draining_ ? "draining" : "ready"},
                 {"ColdLeftMs", 0},
                 {"Capacity",
                  {{"Cpu", options_.cpu},
                   {"MemMb", options_.memory_mb},
                   {"Gpu", options_.gpus}}},
                 {"Labels", {"a", options_.rack}},
                 {"ClockMs", clock()},
                 {"born", born_ms_},
                 {"Seq", ++sequence_}};
    if (is_draining_)
        message["RemainingMs"] =
            std::max<std::int64_t>(leaves_at_ - now_ms(), 0);
    return message.dump();
}

void executor::send_heartbeats()
{
    std::int64_t sent_at = 0;
    while (!is_stopping_) {
        std::this_thread::sleep_for(tick);
        bool const is_due = is_heartbeat_due_.exchange(false) ||
                            now_ms() - sent_at >= heartbeat_period;
        if (!is_up_ || !is_due)
            continue;
        sent_at = now_ms();
        auto const body = describe();
        auto const answer =
            call_http(options_.control, "POST",
                      "/sequoiaroute/Instances.Heartbeat/" + id_,
                      {{"Content-Type", "application/json"}}, body, 1000);
        if (answer.status / 100 == 2)
            is_acknowledged_ = true;
    }
}

} // namespace review
