#include "programs/client_commands.hpp"

#include "core/identifier.hpp"
#include "programs/flags.hpp"
#include "programs/job_progress.hpp"

#include <thread>

#include <absl/flags/flag.h>
#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

constexpr core::duration poll_period{500};
constexpr int max_polls = 240; ///< for the answer of a request

core::error bad_request(std::string message)
{
    return {core::result_code::bad_request, std::move(message)};
}

/// @return the submission that the flags describe, or bad_request if the input
///         file cannot be read
core::result<core::json> make_job_submission(std::string const& job_id)
{
    core::json job{{"job_id", job_id},
                   {"kind", absl::GetFlag(FLAGS_kind)},
                   {"command", absl::GetFlag(FLAGS_command)},
                   {"members", absl::GetFlag(FLAGS_members)},
                   {"cores", absl::GetFlag(FLAGS_cores)},
                   {"memory_megabytes", absl::GetFlag(FLAGS_memory_megabytes)},
                   {"accelerators", absl::GetFlag(FLAGS_accelerators)},
                   {"within", absl::GetFlag(FLAGS_within)},
                   {"urgent", absl::GetFlag(FLAGS_urgent)},
                   {"unrepeatable", absl::GetFlag(FLAGS_unrepeatable)},
                   {"declared_run_time_seconds",
                    absl::GetFlag(FLAGS_declared_run_time_seconds)},
                   {"deadline_seconds", absl::GetFlag(FLAGS_deadline_seconds)}};
    if (auto const path = absl::GetFlag(FLAGS_input_file); !path.empty()) {
        SEQUOIA_TRY_INTO(job["input"], read_file(path));
    }
    return job;
}

core::status submit_job(callers::api_client& client, failover_client& entries)
{
    if (absl::GetFlag(FLAGS_kind).empty() ||
        absl::GetFlag(FLAGS_command).empty())
        return bad_request("submit job needs --kind and --command");
    auto job_id = absl::GetFlag(FLAGS_job_id);
    if (job_id.empty())
        job_id = core::make_identifier();
    SEQUOIA_TRY_INTO(auto const job, make_job_submission(job_id));
    SEQUOIA_TRY_INTO(auto answer, client.submit_job(job));
    if (absl::GetFlag(FLAGS_wait)) {
        SEQUOIA_TRY_INTO(answer, watch_job(entries, job_id));
    }
    print_job(answer);
    return outcome_of(answer);
}

void print_answer(std::string const& request_id,
                  targets::request_answer const& answer)
{
    if (!absl::GetFlag(FLAGS_json)) {
        fmt::print("{}\n", answer.body);
        return;
    }
    core::json const json{{"request_id", request_id},
                          {"body", answer.body},
                          {"digest", answer.digest}};
    // JSON must be UTF-8, so invalid bytes of the body are replaced.
    fmt::print("{}\n",
               json.dump(-1, ' ', false, core::json::error_handler_t::replace));
}

/// Polls for the answer of a request until it has ended.
/// @return the answer, or an error; still_running if the limit of polls was
///         reached
core::result<targets::request_answer>
wait_for_answer(callers::api_client& client, std::string const& request_id)
{
    auto answer = client.find(request_id);
    for (int i = 0; i < max_polls; ++i) {
        if (core::code_of(answer) != core::result_code::still_running)
            return answer;
        std::this_thread::sleep_for(poll_period);
        answer = client.find(request_id);
    }
    return answer;
}

core::status submit_request(callers::api_client& client)
{
    callers::api_request request;
    SEQUOIA_TRY_INTO(request.body, read_file(absl::GetFlag(FLAGS_body_file)));
    request.request_id = absl::GetFlag(FLAGS_request_id);
    if (request.request_id.empty())
        request.request_id = core::make_identifier();
    request.service = absl::GetFlag(FLAGS_service);
    request.is_unrepeatable = absl::GetFlag(FLAGS_unrepeatable);
    request.time_limit = core::duration(absl::GetFlag(FLAGS_time_limit_ms));
    if (!absl::GetFlag(FLAGS_json))
        fmt::print(stderr, "request id {}\n", request.request_id);
    auto answer = client.send(request);
    bool const may_be_running =
        core::code_of(answer) == core::result_code::still_running ||
        core::code_of(answer) == core::result_code::outcome_unknown;
    if (may_be_running && absl::GetFlag(FLAGS_wait))
        answer = wait_for_answer(client, request.request_id);
    if (!core::is_ok(answer))
        return core::failure(answer);
    print_answer(request.request_id, core::value(answer));
    return core::success();
}

/// Prints the answer of an earlier request.
core::status show_answer(callers::api_client& client,
                         std::string const& request_id)
{
    SEQUOIA_TRY_INTO(auto const answer, client.find(request_id));
    print_answer(request_id, answer);
    return core::success();
}

} // namespace

core::status run_submit(command_line const& line, callers::api_client& client,
                        failover_client& entries)
{
    if (line.operands == std::vector<std::string>{"job"})
        return submit_job(client, entries);
    if (line.operands == std::vector<std::string>{"request"})
        return submit_request(client);
    return bad_request("submit needs \"request\" or \"job\"; see submit "
                       "--help");
}

core::status run_status(command_line const& line, callers::api_client& client,
                        failover_client& entries)
{
    if (auto const id = absl::GetFlag(FLAGS_request_id); !id.empty())
        return show_answer(client, id);
    if (line.operands.size() > 1)
        return bad_request("status takes at most one job");
    if (line.operands.empty()) {
        SEQUOIA_TRY_INTO(auto const jobs, entries.query("GET", "/v1/jobs"));
        auto const found = jobs.find("jobs");
        for (auto const& job : found == jobs.end() ? jobs : *found)
            print_job(job);
        return core::success();
    }
    auto const& job_id = line.operands[0];
    SEQUOIA_TRY_INTO(auto const job,
                     absl::GetFlag(FLAGS_watch)
                         ? watch_job(entries, job_id)
                         : entries.query("GET", "/v1/jobs/" + job_id));
    print_job(job);
    return outcome_of(job);
}

core::status run_cancel(command_line const& line, failover_client& entries)
{
    bool const wants_queued = absl::GetFlag(FLAGS_queued);
    if (line.operands.size() != (wants_queued ? 0U : 1U))
        return bad_request("cancel needs one job, or --queued");
    if (!wants_queued) {
        SEQUOIA_TRY_INTO(
            auto const job,
            entries.query("DELETE", "/v1/jobs/" + line.operands[0]));
        print_job(job);
        return core::success();
    }
    SEQUOIA_TRY_INTO(auto const answer, entries.query("DELETE", "/v1/jobs"));
    fmt::print("{}\n", answer.dump());
    return core::success();
}

} // namespace sequoiaroute::programs
