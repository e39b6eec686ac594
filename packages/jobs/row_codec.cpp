#include "jobs/row_codec.hpp"

#include "core/codec.hpp"

namespace sequoiaroute::jobs {

namespace {

using core::json;

std::string dump(json const& document)
{
    // A payload may contain bytes that are not valid UTF-8, but rows must be
    // UTF-8, so such bytes are replaced.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_json(resources const& value)
{
    return {value.millicores, value.memory_mb, value.accelerators};
}

resources resources_from(json const& document)
{
    return {core::to_count(document.at(0)), core::to_count(document.at(1)),
            core::to_count(document.at(2))};
}

json to_json(step_spec const& step)
{
    json document{{"count", step.task_count},
                  {"task", to_json(step.task)},
                  {"estimate_ms", step.estimate.count()}};
    if (!step.after.empty())
        document["after"] = step.after;
    if (step.is_gang)
        document["gang"] = true;
    if (step.is_rack_local)
        document["rack_local"] = true;
    if (step.has_checkpoints)
        document["checkpoints"] = true;
    if (step.is_speculative)
        document["speculative"] = true;
    if (step.is_long_running)
        document["long_running"] = true;
    if (step.allowed_absences > 0)
        document["allowed_absences"] = step.allowed_absences;
    if (step.response_target > core::duration(0))
        document["response_target_ms"] = step.response_target.count();
    if (step.is_filler)
        document["filler"] = true;
    if (!step.required_label.empty())
        document["label"] = step.required_label;
    if (!step.data_rack.empty())
        document["data_rack"] = step.data_rack;
    if (step.max_per_worker > 0)
        document["max_per_worker"] = step.max_per_worker;
    return document;
}

step_spec step_from(json const& document)
{
    step_spec step;
    step.task_count = document.at("count");
    step.task = resources_from(document.at("task"));
    step.estimate = core::to_duration(document.at("estimate_ms"));
    step.after = document.value("after", std::vector<std::int32_t>());
    step.is_gang = document.value("gang", false);
    step.is_rack_local = document.value("rack_local", false);
    step.has_checkpoints = document.value("checkpoints", false);
    step.is_speculative = document.value("speculative", false);
    step.is_long_running = document.value("long_running", false);
    step.allowed_absences = document.value("allowed_absences", 0);
    step.response_target = core::duration_field(document, "response_target_ms");
    step.is_filler = document.value("filler", false);
    step.required_label = document.value("label", "");
    step.data_rack = document.value("data_rack", "");
    step.max_per_worker = document.value("max_per_worker", 0);
    return step;
}

json to_json(run_id const& run)
{
    return {run.task.job_id, run.task.occurrence, run.task.step, run.task.index,
            run.run};
}

run_id run_from(json const& document)
{
    return {{document.at(0), core::to_count(document.at(1)), document.at(2),
             document.at(3)},
            core::to_count(document.at(4))};
}

json to_json(task_progress const& task)
{
    json document{task.is_done ? 1 : 0, task.failures, task.last_run,
                  task.checkpoint};
    if (!task.unconfirmed_runs.empty())
        document.push_back(task.unconfirmed_runs);
    return document;
}

task_progress task_from(json const& document)
{
    task_progress task{document.at(0).get<int>() != 0,
                       document.at(1),
                       core::to_count(document.at(2)),
                       document.at(3),
                       {}};
    if (document.size() > 4)
        document.at(4).get_to(task.unconfirmed_runs);
    return task;
}

/// @return an occurrence: its number, the steps, and if there are any, the gang
///         runs whose failure was counted, by step
json to_json(std::int64_t number, occurrence_progress const& occurrence)
{
    json steps = json::array();
    for (auto const& step : occurrence.steps) {
        json tasks = json::array();
        for (auto const& task : step)
            tasks.push_back(to_json(task));
        steps.push_back(std::move(tasks));
    }
    json document{number, std::move(steps)};
    if (!occurrence.failed_gang_runs.empty())
        document.push_back(occurrence.failed_gang_runs);
    return document;
}

occurrence_progress occurrence_from(json const& document)
{
    occurrence_progress occurrence;
    for (auto const& step : core::elements_of(document.at(1))) {
        auto& tasks = occurrence.steps.emplace_back();
        for (auto const& task : core::elements_of(step))
            tasks.push_back(task_from(task));
    }
    if (document.size() > 2)
        document.at(2).get_to(occurrence.failed_gang_runs);
    return occurrence;
}

/// @return the state with a given name; `queued` if the name is unknown
job_state parse_job_state(std::string const& text)
{
    for (auto const state : {job_state::running, job_state::completed,
                             job_state::failed, job_state::cancelled}) {
        if (name(state) == text)
            return state;
    }
    return job_state::queued;
}

/// @return the state with a given name; `gone` if the name is unknown
worker_state parse_worker_state(std::string const& text)
{
    if (text == "ready")
        return worker_state::ready;
    return text == "draining" ? worker_state::draining : worker_state::gone;
}

json to_json(worker_description const& worker)
{
    json document{{"executor", worker.executor.id},
                  {"born_ms", worker.executor.born_ms},
                  {"service", worker.service},
                  {"data_centre", worker.data_centre},
                  {"rack", worker.rack},
                  {"state", name(worker.state)},
                  {"remaining_ms", worker.remaining.count()},
                  {"capacity", to_json(worker.capacity)},
                  {"labels", worker.labels}};
    if (worker.cold_for > core::duration(0))
        document["cold_ms"] = worker.cold_for.count();
    return document;
}

worker_description worker_from(json const& document)
{
    worker_description worker;
    worker.executor = {document.at("executor"), document.at("born_ms")};
    worker.service = document.at("service");
    worker.data_centre = document.at("data_centre");
    worker.rack = document.at("rack");
    worker.state = parse_worker_state(document.at("state"));
    worker.remaining = core::to_duration(document.at("remaining_ms"));
    worker.cold_for = core::duration_field(document, "cold_ms");
    worker.capacity = resources_from(document.at("capacity"));
    worker.labels = document.at("labels").get<std::vector<std::string>>();
    return worker;
}

} // namespace

std::string encode(submission const& value)
{
    json steps = json::array();
    for (auto const& step : value.spec.steps)
        steps.push_back(to_json(step));
    json document{{"job", value.job_id},
                  {"customer", value.customer},
                  {"queue", value.parameters.queue},
                  {"service", value.parameters.service},
                  {"priority", value.parameters.priority},
                  {"max_attempts", value.parameters.max_attempts},
                  {"objective_factor", value.parameters.objective_factor},
                  {"objective_ms", value.parameters.objective_slack.count()},
                  {"payload", value.spec.payload},
                  {"steps", std::move(steps)}};
    if (value.accepted_at > core::duration(0))
        document["accepted_at_ms"] = value.accepted_at.count();
    if (value.parameters.needs_tickets())
        document["ticket_validity_ms"] =
            value.parameters.ticket_validity.count();
    if (value.spec.is_repeated()) {
        document["repeats"] = value.spec.repeats;
        document["first_due_ms"] = value.spec.first_due_ms;
        document["interval_ms"] = value.spec.interval.count();
    }
    return dump(document);
}

core::result<submission> decode_submission(std::string_view text)
{
    return core::decode_json<submission>(text, [](json const& document) {
        submission value;
        value.job_id = document.at("job");
        value.customer = document.at("customer");
        value.parameters.queue = document.at("queue");
        value.parameters.service = document.at("service");
        value.parameters.priority = document.at("priority");
        value.parameters.max_attempts = document.at("max_attempts");
        value.parameters.objective_factor =
            core::to_factor(document.at("objective_factor"));
        value.parameters.objective_slack =
            core::to_duration(document.at("objective_ms"));
        value.parameters.ticket_validity =
            core::duration_field(document, "ticket_validity_ms");
        value.accepted_at = core::duration_field(document, "accepted_at_ms");
        value.spec.payload = document.at("payload");
        for (auto const& step : core::elements_of(document.at("steps")))
            value.spec.steps.push_back(step_from(step));
        value.spec.repeats = document.value("repeats", std::int64_t{0});
        value.spec.first_due_ms =
            document.value("first_due_ms", std::int64_t{0});
        value.spec.interval = core::duration_field(document, "interval_ms");
        return value;
    });
}

std::string encode(job_progress const& value)
{
    json occurrences = json::array();
    for (auto const& [number, occurrence] : value.occurrences)
        occurrences.push_back(to_json(number, occurrence));
    return dump({{"state", name(value.state)},
                 {"started", value.has_started},
                 {"finished", value.finished_occurrences},
                 {"occurrences", std::move(occurrences)}});
}

core::result<job_progress> decode_progress(std::string_view text)
{
    return core::decode_json<job_progress>(text, [](json const& document) {
        job_progress value;
        value.state = parse_job_state(document.at("state"));
        value.has_started = document.at("started");
        value.finished_occurrences =
            document.at("finished").get<std::set<std::int64_t>>();
        for (auto const& item : core::elements_of(document.at("occurrences"))) {
            value.occurrences.emplace(item.at(0).get<std::int64_t>(),
                                      occurrence_from(item));
        }
        return value;
    });
}

std::string encode(worker_report const& value)
{
    json running = json::array();
    for (auto const& task : value.running) {
        running.push_back(
            {to_json(task.run), task.checkpoint, task.percent, task.share});
    }
    json ended = json::array();
    for (auto const& task : value.ended)
        ended.push_back({to_json(task.run), name(task.end), task.checkpoint});
    json document{{"agent", value.agent},
                  {"written_at_ms", value.written_at.count()},
                  {"worker", to_json(value.worker)},
                  {"running", std::move(running)},
                  {"ended", std::move(ended)}};
    if (!value.session.empty())
        document["session"] = value.session;
    return dump(document);
}

core::result<worker_report> decode_report(std::string_view text)
{
    return core::decode_json<worker_report>(text, [](json const& document) {
        worker_report value;
        value.agent = document.at("agent");
        value.written_at = core::to_duration(document.at("written_at_ms"));
        value.worker = worker_from(document.at("worker"));
        for (auto const& task : core::elements_of(document.at("running"))) {
            value.running.push_back(
                {run_from(task.at(0)), task.at(1), core::to_percent(task.at(2)),
                 core::to_percent(task.at(3)), core::duration(0)});
        }
        for (auto const& task : core::elements_of(document.at("ended"))) {
            value.ended.push_back({run_from(task.at(0)),
                                   parse_run_end(task.at(1).get<std::string>()),
                                   task.at(2)});
        }
        value.session = document.value("session", "");
        return value;
    });
}

std::string encode(run_order const& value)
{
    json document{{"agent", value.agent},
                  {"executor", value.executor.id},
                  {"born_ms", value.executor.born_ms},
                  {"run", to_json(value.run)},
                  {"payload", value.payload},
                  {"checkpoint", value.checkpoint}};
    if (value.is_stop_requested)
        document["stop"] = true;
    if (value.is_urgent)
        document["urgent"] = true;
    if (!value.ticket.empty())
        document["ticket"] = value.ticket;
    if (value.response_target > core::duration(0))
        document["response_target_ms"] = value.response_target.count();
    if (value.is_filler)
        document["filler"] = true;
    if (!value.session.empty())
        document["session"] = value.session;
    if (value.start_deadline > core::duration(0))
        document["start_deadline_ms"] = value.start_deadline.count();
    return dump(document);
}

core::result<run_order> decode_order(std::string_view text)
{
    return core::decode_json<run_order>(text, [](json const& document) {
        run_order value;
        value.agent = document.at("agent");
        value.executor = {document.at("executor"), document.at("born_ms")};
        value.run = run_from(document.at("run"));
        value.payload = document.at("payload");
        value.checkpoint = document.at("checkpoint");
        value.is_stop_requested = document.value("stop", false);
        value.is_urgent = document.value("urgent", false);
        value.ticket = document.value("ticket", "");
        value.response_target =
            core::duration_field(document, "response_target_ms");
        value.is_filler = document.value("filler", false);
        value.session = document.value("session", "");
        value.start_deadline =
            core::duration_field(document, "start_deadline_ms");
        return value;
    });
}

} // namespace sequoiaroute::jobs
