#include "workers/request_runner.hpp"

#include "core/identifier.hpp"

#include <utility>

namespace sequoiaroute::workers {

namespace {

using core::result_code;
using peers::attempt_state;

peers::attempt_answer make_error_answer(peers::dispatch const& request,
                                        attempt_state state, result_code code,
                                        std::string message)
{
    peers::attempt_answer answer;
    answer.attempt_id = request.attempt_id;
    answer.state = state;
    answer.code = static_cast<std::uint16_t>(code);
    answer.message = std::move(message);
    return answer;
}

peers::attempt_answer make_finished_answer(peers::dispatch const& request,
                                           std::string body)
{
    peers::attempt_answer answer;
    answer.attempt_id = request.attempt_id;
    answer.state = attempt_state::finished;
    answer.length = body.size();
    answer.digest = core::digest(body);
    answer.body = std::move(body);
    return answer;
}

attempt_state failure_state(result_code code)
{
    return core::is_not_run(code) ? attempt_state::refused
                                  : attempt_state::failed;
}

request_attempt make_request_attempt(peers::dispatch const& request)
{
    return {request.customer, request.request_id, request.attempt_id,
            request.claim_attempt};
}

} // namespace

peers::attempt_answer request_runner::dispatch(peers::dispatch const& request)
{
    auto registration = registry_.begin(request);
    if (!registration.is_new)
        return std::move(registration.answer);
    return admit(request);
}

bool request_runner::acquire_slot()
{
    auto used = slots_used_.load();
    while (used < slots_) {
        if (slots_used_.compare_exchange_weak(used, used + 1))
            return true;
    }
    return false;
}

peers::attempt_answer request_runner::admit(peers::dispatch const& request)
{
    auto const refuse = [&](char const* reason) {
        auto answer = make_error_answer(request, attempt_state::refused,
                                        result_code::refused_not_run, reason);
        registry_.finish(answer);
        return answer;
    };
    if (!acquire_slot())
        return refuse("no slot is free");
    // The slot is acquired before this check. Once a drain sees no slot in use,
    // all later requests are therefore refused.
    peers::attempt_answer answer;
    if (is_leaving_)
        answer = refuse("the target is leaving");
    else if (!result_writer_.has_capacity())
        answer =
            refuse("too many results wait to be written to the object store");
    else
        answer = run_in_slot(request);
    --slots_used_;
    return answer;
}

peers::attempt_answer
request_runner::run_in_slot(peers::dispatch const& request)
{
    auto const deadline = clock_.now() + core::duration(request.time_limit_ms);
    if (request.is_unrepeatable) {
        auto const permit = permits_.acquire(make_request_attempt(request));
        if (!is_ok(permit)) {
            auto answer = make_error_answer(
                request, failure_state(failure(permit).code),
                failure(permit).code, failure(permit).message);
            registry_.finish(answer);
            return answer;
        }
    }
    auto answer = execute(request, deadline);
    // Recorded first, so that a query finds the answer while it is stored.
    registry_.finish(answer);
    store_result(request, answer);
    return answer;
}

peers::attempt_answer request_runner::execute(peers::dispatch const& request,
                                              core::time_point deadline)
{
    auto const remaining = deadline - clock_.now();
    if (remaining <= core::duration::zero()) {
        return make_error_answer(
            request, attempt_state::refused, result_code::deadline_not_run,
            "the time limit passed before the request was started");
    }
    auto outcome =
        executor_.execute({request.attempt_id, request.request_id,
                           request.customer, request.body, remaining});
    if (!is_ok(outcome)) {
        return make_error_answer(request, failure_state(failure(outcome).code),
                                 failure(outcome).code,
                                 failure(outcome).message);
    }
    return make_finished_answer(request, value(std::move(outcome)));
}

void request_runner::store_result(peers::dispatch const& request,
                                  peers::attempt_answer const& answer)
{
    pending_result result{make_request_attempt(request), std::nullopt,
                          std::nullopt, false};
    if (answer.state == attempt_state::finished)
        result.body = answer.body;
    if (!request.is_unrepeatable) {
        if (result.body)
            result_writer_.enqueue(std::move(result));
        return;
    }
    // The row is written before the answer is sent. If the agent crashed
    // between an answer and the write, the row would stay in state started
    // forever.
    result.was_refused = answer.state == attempt_state::refused;
    result.outcome =
        permit_outcome{static_cast<result_code>(answer.code), answer.message};
    result_writer_.write_or_enqueue(std::move(result));
}

} // namespace sequoiaroute::workers
