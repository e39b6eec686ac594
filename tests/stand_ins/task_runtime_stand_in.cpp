#include "stand_ins/task_runtime_stand_in.hpp"

#include <cstdlib>

#include <fmt/format.h>

namespace sequoiaroute::stand_ins {

namespace {

using platform::task_state;

/// How often the progress of the tasks is updated.
constexpr core::duration update_period{10};
/// The time of a checkpoint that is not being taken.
constexpr auto no_checkpoint = core::time_point::max();

} // namespace

task_runtime_stand_in::task_runtime_stand_in(control& control, int worker_index)
    : control_(control), worker_index_(worker_index),
      section_(fmt::format("/runtime/{}", worker_index)),
      subscription_(
          timers_.subscribe(update_period, [this] { update_tasks(); }))
{
}

void task_runtime_stand_in::serve(http::http_server& server)
{
    server.route("POST", "/tasks", json_handler([this](auto const& body) {
                     return start_task(body);
                 }));
    server.route("GET", "/tasks", [this](auto const&) { return list_tasks(); });
    server.route("POST", "/tasks/", [this](auto const& request) {
        return json_handler([&](auto const& body) {
            return handle_command(request.path, body);
        })(request);
    });
}

http::http_response
task_runtime_stand_in::start_task(core::json const& specification)
{
    control_.apply_delay(section_);
    std::lock_guard const lock(mutex_);
    auto const id = specification.at("task_id").get<std::string>();
    if (tasks_.contains(id))
        return json_response(core::json::object());
    task new_task;
    new_task.report.task_id = id;
    new_task.command =
        directives(specification.at("command").get<std::string>());
    new_task.progress_updated_at = clock_.now();
    new_task.lease_end =
        new_task.progress_updated_at +
        core::duration(specification.at("lease_ms").get<int>());
    new_task.checkpoint_done_at = no_checkpoint;
    auto const restore_from = specification.value("restore_from", "");
    if (auto const separator = restore_from.rfind('@');
        separator != std::string::npos)
        new_task.progress_ms =
            std::strtod(restore_from.c_str() + separator + 1, nullptr);
    record_task("task_started", new_task,
                {{"customer", specification.at("customer")},
                 {"resources", specification.at("resources")},
                 {"restore_from", restore_from}});
    tasks_.emplace(id, std::move(new_task));
    return json_response(core::json::object());
}

http::http_response task_runtime_stand_in::list_tasks()
{
    control_.apply_delay(section_);
    std::lock_guard const lock(mutex_);
    auto reports = core::json::array();
    for (auto const& [id, entry] : tasks_)
        reports.push_back(entry.report);
    return json_response({{"tasks", std::move(reports)}});
}

http::http_response
task_runtime_stand_in::handle_command(std::string const& path,
                                      core::json const& arguments)
{
    control_.apply_delay(section_);
    auto const begin = std::string_view("/tasks/").size();
    auto const slash = path.rfind('/');
    if (slash < begin)
        return {404, {}, ""};
    std::lock_guard const lock(mutex_);
    auto const found =
        tasks_.find(std::string_view(path).substr(begin, slash - begin));
    if (found == tasks_.end())
        return {404, {}, ""};
    if (found->second.report.state == task_state::running)
        apply_command(found->second, std::string_view(path).substr(slash + 1),
                      arguments);
    return json_response(core::json::object());
}

void task_runtime_stand_in::apply_command(task& task, std::string_view name,
                                          core::json const& arguments)
{
    auto const now = clock_.now();
    update_task(task, now);
    if (task.report.state != task_state::running)
        return;
    if (name == "renew") {
        task.lease_end = now + core::duration(arguments.at("lease_ms"));
    } else if (name == "throttle") {
        task.percent = arguments.at("percent");
        record_task("task_throttled", task, {{"percent", task.percent}});
    } else if (name == "checkpoint") {
        if (!task.command.has("ignore_checkpoint"))
            task.checkpoint_done_at =
                now + core::duration(task.command.number("checkpoint_ms"));
    } else if (name == "stop") {
        end(task, task_state::stopped);
    }
}

void task_runtime_stand_in::update_tasks()
{
    std::lock_guard const lock(mutex_);
    for (auto& [id, entry] : tasks_) {
        if (entry.report.state == task_state::running)
            update_task(entry, clock_.now());
    }
}

void task_runtime_stand_in::update_task(task& task, core::time_point now)
{
    if (now >= task.lease_end) {
        end(task, task_state::lease_expired);
        return;
    }
    auto const elapsed = now - task.progress_updated_at;
    task.progress_updated_at = now;
    task.progress_ms +=
        static_cast<double>(elapsed.count()) * task.percent / 100.0;
    if (now >= task.checkpoint_done_at) {
        task.checkpoint_done_at = no_checkpoint;
        task.report.checkpoint =
            fmt::format("{}@{:.0f}", task.report.task_id, task.progress_ms);
        record_task("task_checkpointed", task,
                    {{"checkpoint", task.report.checkpoint}});
    }
    if (control_.fault_number(section_ + "/fail_all") != 0) {
        task.report.detail = "the worker fails every task";
        end(task, task_state::failed);
    } else if (task.progress_ms >= task.command.number("run_ms")) {
        if (task.command.has("fail"))
            task.report.detail = "the command failed";
        else
            task.report.output = task.command.text("output");
        end(task, task.command.has("fail") ? task_state::failed
                                           : task_state::finished);
    }
}

void task_runtime_stand_in::end(task& task, platform::task_state state)
{
    task.report.state = state;
    record_task("task_ended", task, {{"state", state}});
}

void task_runtime_stand_in::record_task(std::string_view kind, task const& task,
                                        core::json fields)
{
    fields["worker"] = worker_index_;
    fields["task_id"] = task.report.task_id;
    control_.event_journal().record(kind, std::move(fields));
}

} // namespace sequoiaroute::stand_ins
