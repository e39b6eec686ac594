// A stand-in of an executor. Directives in a request body: sleep_ms, size (of
// the answer in bytes), fail. Faults: frozen, delay_ms, truncate and refuse;
// the last two are the number of requests to affect.
#include "core/identifier.hpp"
#include "stand_ins/control.hpp"
#include "stand_ins/directives.hpp"

#include <atomic>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, address, "",
          "IP:PORT of the executor and its control interface");

namespace {

using namespace sequoiaroute;
using stand_ins::control;
using stand_ins::directives;

/// Requests that run at once; further ones are answered with 503.
constexpr int slot_count = 8;
/// The server needs a thread per connection, and fleet.lua allows an agent 64.
constexpr std::size_t server_thread_count = 64;

/// Returns the answer to a request, which depends on its id and body alone: the
/// id and a digest, padded with dots to a size in bytes.
std::string make_answer(std::string const& request_id, std::string const& body,
                        int size)
{
    auto answer =
        fmt::format("{} {}", request_id, core::digest(request_id + body));
    if (answer.size() < static_cast<std::size_t>(size))
        answer.resize(static_cast<std::size_t>(size), '.');
    return answer;
}

/// Runs a request as its directives say and records its start and end.
http::http_response execute(control& executor_control,
                            http::http_request const& request)
{
    core::json const ids{{"attempt_id", request.header("Attempt-Id")},
                         {"request_id", request.header("Request-Id")},
                         {"customer", request.header("Customer")}};
    directives const body_directives(request.body);
    executor_control.event_journal().record("execution_started", ids);
    std::this_thread::sleep_for(
        core::duration(body_directives.number("sleep_ms")));
    auto end = ids;
    end["failed"] = body_directives.has("fail");
    executor_control.event_journal().record("execution_ended", std::move(end));
    if (body_directives.has("fail"))
        return {500, {}, "the request failed"};
    http::http_response response;
    response.body = make_answer(ids["request_id"].get<std::string>(),
                                request.body, body_directives.number("size"));
    if (executor_control.consume_fault("/truncate")) {
        response.headers["Content-Length"] =
            std::to_string(response.body.size());
        response.body.resize(response.body.size() / 2);
    }
    return response;
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::ParseCommandLine(argument_count, arguments);
    control executor_control;
    std::atomic<int> used_slots{0};
    auto const server = stand_ins::start_server(absl::GetFlag(FLAGS_address),
                                                server_thread_count);
    server->route("POST", "/execute", [&](auto const& request) {
        executor_control.apply_delay("");
        if (executor_control.consume_fault("/refuse"))
            return http::http_response{503, {}, ""};
        http::http_response response{503, {}, ""};
        if (++used_slots <= slot_count)
            response = execute(executor_control, request);
        --used_slots;
        return response;
    });
    executor_control.serve(*server);
    stand_ins::run_until_killed();
}
