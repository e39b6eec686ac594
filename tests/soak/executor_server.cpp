#include "soak/executor_server.hpp"

#include "wire_json.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

using adapter::json;

constexpr core::duration tick_period{20};
constexpr core::duration heartbeat_period{500};
/// When a late order is executed.
constexpr core::duration min_late_delay{2000};
constexpr core::duration max_late_delay{12'000};
/// When a late message to the agent arrives.
constexpr core::duration min_message_delay{300};
constexpr core::duration max_message_delay{6000};
constexpr core::duration message_timeout{500};
std::string const heartbeat_path = "/sequoiaroute/Instances.Heartbeat/";
/// How long an executor runs on if its deregistration is not acknowledged.
constexpr core::duration min_unacknowledged_time{500};
constexpr core::duration max_unacknowledged_time{4000};
/// How many ends one response lists.
constexpr std::size_t max_listed_ends = 500;

jobs::run_id to_run_id(json const& body)
{
    std::vector<std::string> const parts =
        absl::StrSplit(body.at("Task").get<std::string>(), '.');
    auto const number = [&](std::size_t index) {
        std::int64_t parsed = 0;
        std::from_chars(parts[index].data(),
                        parts[index].data() + parts[index].size(), parsed);
        return parsed;
    };
    return {{parts[0], number(1), static_cast<std::int32_t>(number(2)),
             static_cast<std::int32_t>(number(3))},
            body.at("Run")};
}

event::http_response answer(int status, json const& body)
{
    return {status, {}, body.dump(), "application/json"};
}

} // namespace

core::result<std::unique_ptr<executor_server>>
executor_server::create(event::event_loop& loop, addresses endpoints,
                        executor_model& model, random_source& random,
                        std::string rack)
{
    std::unique_ptr<executor_server> self(new executor_server(
        loop, std::move(endpoints), model, random, std::move(rack)));
    SEQUOIA_TRY(self->listen());
    self->begin_incarnation(executor_model::succession::same_id);
    auto* const owner = self.get();
    self->tick_timer_ = loop.every(tick_period, [owner] { owner->tick(); });
    self->heartbeat_timer_ =
        loop.every(heartbeat_period, [owner] { owner->send_heartbeat(); });
    return self;
}

executor_server::executor_server(event::event_loop& loop, addresses endpoints,
                                 executor_model& model, random_source& random,
                                 std::string rack)
    : loop_(loop), endpoints_(std::move(endpoints)), model_(model),
      random_(random), rack_(std::move(rack)), client_(loop)
{
}

core::status executor_server::listen()
{
    event::http_server::limits limits;
    limits.kept_headers = {"X-Expect-Instance"};
    SEQUOIA_TRY_INTO(server_,
                     event::http_server::create(
                         loop_, connections_, endpoints_.own, limits,
                         [this](auto const& request, auto const& respond) {
                             serve(request, respond);
                         }));
    return core::success();
}

void executor_server::update_listener()
{
    bool const is_listening = server_ != nullptr;
    bool const must_listen =
        model_.is_up() && faults.to_agent != executor_faults::path::refused;
    if (is_listening && !must_listen)
        close_listener();
    // Tried again with the next tick if it fails.
    if (!is_listening && must_listen)
        static_cast<void>(listen());
}

void executor_server::close_listener()
{
    pending_holds_.clear();
    server_.reset();
}

void executor_server::begin_incarnation(executor_model::succession next)
{
    is_draining_ = false;
    has_deregistered_ = false;
    sequence_ = 0;
    last_end_count_ = 0;
    model_.begin_incarnation(next);
    send_heartbeat();
}

void executor_server::tick()
{
    model_.advance();
    update_listener();
    if (is_draining_ && loop_.now() > drain_end_)
        return leave();
    bool const has_new_end = model_.ends().size() > last_end_count_;
    last_end_count_ = model_.ends().size();
    auto const now = loop_.now();
    for (auto next = pending_holds_.begin(); next != pending_holds_.end();) {
        auto const hold = next++;
        if (!has_new_end && now < hold->until)
            continue;
        auto const respond = hold->respond;
        pending_holds_.erase(hold);
        if (!loses_responses())
            send_run_lists(respond);
    }
}

void executor_server::leave()
{
    using deregistration = executor_faults::deregistration;
    if (!has_deregistered_) {
        has_deregistered_ = true;
        auto const path = "/sequoiaroute/Instances.Deregister/" + model_.id();
        auto const body = json{{"born", model_.born_ms()}}.dump();
        if (faults.leaving == deregistration::late)
            send_later(path, body);
        else if (faults.leaving != deregistration::lost)
            send(path, body);
        if (faults.leaving != deregistration::acknowledged) {
            drain_end_ = loop_.now() + random_.between(min_unacknowledged_time,
                                                       max_unacknowledged_time);
            return;
        }
    }
    crash(random_.between(core::duration(300), core::duration(1500)));
}

bool executor_server::loses_messages() const
{
    return faults.to_agent == executor_faults::path::silent ||
           faults.to_agent == executor_faults::path::refused;
}

bool executor_server::loses_responses() const
{
    return faults.to_agent == executor_faults::path::silent ||
           faults.to_agent == executor_faults::path::responses_lost;
}

void executor_server::send(std::string const& path, std::string const& body)
{
    if (loses_messages())
        return;
    client_.call(
        {endpoints_.heartbeats, "POST", path, {}, body, message_timeout},
        [](auto const&) {
            // A lost heartbeat is not repeated: the next one follows soon.
        });
}

void executor_server::send_later(std::string const& path,
                                 std::string const& body)
{
    late_message_timers_.push_back(
        loop_.after(random_.between(min_message_delay, max_message_delay),
                    [this, path, body] { send(path, body); }));
}

core::json executor_server::describe()
{
    auto const& capacity = model_.capacity();
    return {{"Service", "s"},
            {"Addr", endpoints_.own},
            {"Zone", rack_},
            {"State", is_draining_ ? "draining" : "ready"},
            {"Capacity",
             {{"Cpu", capacity.millicores},
              {"MemMb", capacity.memory_mb},
              {"Gpu", capacity.accelerators}}},
            {"Labels", {"a", rack_}},
            {"born", model_.born_ms()},
            {"Seq", ++sequence_}};
}

void executor_server::send_heartbeat()
{
    if (!model_.is_up())
        return;
    auto body = describe();
    if (is_draining_) {
        body["RemainingMs"] =
            std::max<std::int64_t>((drain_end_ - loop_.now()).count(), 0);
    }
    auto const path = heartbeat_path + model_.id();
    if (faults.late_heartbeat_probability > 0 &&
        random_.happens(faults.late_heartbeat_probability))
        return send_later(path, body.dump());
    send(path, body.dump());
}

void executor_server::send_foreign_heartbeat()
{
    auto body = describe();
    body["Service"] = "another";
    body["born"] = loop_.now().time_since_epoch().count();
    send(heartbeat_path + ("another-" + model_.id()), body.dump());
}

void executor_server::drain(core::duration remaining)
{
    if (!model_.is_up() || is_draining_)
        return;
    is_draining_ = true;
    drain_end_ = loop_.now() + remaining;
    send_heartbeat();
}

void executor_server::crash(core::duration downtime,
                            executor_model::succession next)
{
    if (!model_.is_up())
        return;
    model_.end_incarnation();
    late_order_timers_.clear();
    close_listener();
    restart_timer_ = loop_.after(downtime, [this, next] {
        begin_incarnation(next);
        update_listener();
    });
}

void executor_server::restart_unnoticed(executor_model::succession next)
{
    if (!model_.is_up())
        return;
    model_.end_incarnation();
    late_order_timers_.clear();
    pending_holds_.clear();
    begin_incarnation(next);
}

void executor_server::serve(event::http_request const& request,
                            event::http_responder const& respond)
{
    auto const path = faults.to_agent;
    if (path == executor_faults::path::silent ||
        path == executor_faults::path::requests_lost)
        return;
    auto answer_to = respond;
    if (loses_responses())
        answer_to = [](auto const&) {};
    model_.advance();
    if (request.path == "/sequoiaroute/hold")
        return hold(request.body, answer_to);
    serve_order(request, answer_to);
}

void executor_server::serve_order(event::http_request const& request,
                                  event::http_responder const& respond)
{
    if (request.headers.at(0).second != model_.id())
        return respond(answer(421, json::object()));
    if (faults.order_refusal != 0)
        return respond(answer(faults.order_refusal, json::object()));
    if (!random_.happens(faults.late_order_probability))
        return execute_order(request.path, request.body, false, respond);
    late_order_timers_.push_back(loop_.after(
        random_.between(min_late_delay, max_late_delay),
        [this, path = request.path, body = request.body,
         incarnation = model_.incarnation()] {
            if (model_.is_up() && model_.incarnation() == incarnation)
                execute_order(path, body, true, [](auto const&) {});
        }));
}

void executor_server::execute_order(std::string const& path,
                                    std::string const& text, bool is_late,
                                    event::http_responder const& respond)
{
    model_.advance();
    auto const body = json::parse(text);
    auto const run = to_run_id(body);
    json reply{{"ClockMs", model_.clock_ms()}, {"born", model_.born_ms()}};
    if (path == "/sequoiaroute/run-stop") {
        model_.stop(run);
        return respond(answer(200, reply));
    }
    using start_result = executor_model::start_result;
    auto const result =
        model_.start(run, body.at("Spec"), body.at("DeadlineMs"));
    if (result == start_result::started && !is_late && on_timely_start)
        on_timely_start(run, rack_);
    if (result == start_result::started)
        return respond(answer(200, reply));
    reply["Reason"] = result == start_result::old ? "old" : "late";
    respond(answer(409, reply));
}

void executor_server::hold(std::string const& text,
                           event::http_responder const& respond)
{
    auto const body = json::parse(text);
    model_.acknowledge_ends(body.at("AckedUpto"));
    if (body.contains("DeadlineMs"))
        model_.extend_lease(body.at("DeadlineMs"));
    last_end_count_ = std::min(last_end_count_, model_.ends().size());
    core::duration const wait(body.value("WaitMs", std::int64_t{0}));
    if (wait == core::duration(0) || !model_.ends().empty())
        return send_run_lists(respond);
    pending_holds_.push_back({respond, loop_.now() + wait});
}

void executor_server::send_run_lists(event::http_responder const& respond)
{
    json running = json::array();
    for (auto const& [run, record] : model_.running()) {
        auto const percent = std::min<std::int64_t>(
            record.work_done.count() * 100 /
                std::max<std::int64_t>(record.plan.work_time.count(), 1),
            100);
        running.push_back({to_text(run.task), run.run, "", percent, 0});
    }
    json ended = json::array();
    for (auto const& listed : model_.ends()) {
        if (ended.size() == max_listed_ends)
            break;
        ended.push_back({listed.number, to_text(listed.run.task),
                         listed.run.run,
                         std::string(jobs::name(listed.outcome)), ""});
    }
    respond(answer(200, {{"ClockMs", model_.clock_ms()},
                         {"born", model_.born_ms()},
                         {"Running", std::move(running)},
                         {"Finished", std::move(ended)}}));
}

} // namespace sequoiaroute::soak
