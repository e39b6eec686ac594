#include "targets/attempt_runner.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

namespace {

using core::result_code;
using peers::attempt_state;

// The time until the deadline that is reserved for resolving an attempt whose
// answer is missing: this much, or the remaining time over the divisor if that
// is less.
constexpr core::duration max_resolve_reserve{1000};
constexpr int resolve_reserve_divisor = 5;
constexpr core::duration max_call_timeout{1000};
constexpr core::duration min_call_timeout{200};
constexpr core::duration query_period{100};
// One failed query may be caused by a connection that is being replaced.
constexpr int failed_queries_before_fence = 2;

attempt_outcome make_outcome(outcome_kind kind, result_code code,
                             std::string message)
{
    return {kind, {}, {code, std::move(message)}};
}

attempt_outcome finished_outcome(peers::attempt_answer answer)
{
    auto const is_complete = answer.body.size() == answer.length &&
                             core::digest(answer.body) == answer.digest;
    if (!is_complete) {
        return make_outcome(
            outcome_kind::incomplete, result_code::answer_incomplete,
            "the answer does not match its length or its digest");
    }
    return {outcome_kind::finished,
            {std::move(answer.body), std::move(answer.digest)},
            {}};
}

attempt_outcome failed_outcome(peers::attempt_answer const& answer)
{
    auto const code = static_cast<result_code>(answer.code);
    // A failed attempt has run, so a "not run" code would be wrong.
    auto const is_usable = code != result_code::ok && !core::is_not_run(code);
    return make_outcome(outcome_kind::failed,
                        is_usable ? code : result_code::execution_failed,
                        answer.message);
}

attempt_outcome not_run_outcome(outcome_kind kind, std::uint16_t raw_code,
                                std::string const& message)
{
    auto const code = static_cast<result_code>(raw_code);
    return make_outcome(
        kind, core::is_not_run(code) ? code : result_code::refused_not_run,
        message);
}

bool reports_running(peers::answer_envelope const& envelope)
{
    auto const answer =
        core::message_from<peers::attempt_answer>(envelope.body);
    return envelope.code == 0 && core::is_ok(answer) &&
           core::value(answer).state == attempt_state::running;
}

} // namespace

attempt_runner::attempt_runner(peers::link_pool& links,
                               target_directory& directory,
                               core::clock const& clock, sleep_function sleep)
    : links_(links), directory_(directory), clock_(clock),
      sleep_(std::move(sleep))
{
}

attempt_outcome attempt_runner::run(peers::target_report const& target,
                                    peers::dispatch message,
                                    core::time_point deadline)
{
    attempt const attempt{target, message.attempt_id, deadline};
    auto const time_left = remaining_time(deadline);
    auto const timeout =
        time_left -
        std::min(max_resolve_reserve, time_left / resolve_reserve_divisor);
    message.time_limit_ms = timeout.count();
    auto const answer = links_.link_to(target.address)
                            ->call(peers::message_kind::dispatch,
                                   core::json(std::move(message)), timeout);
    if (core::code_of(answer) == result_code::unreachable) {
        directory_.record_failure(target.target_id);
        return make_outcome(outcome_kind::not_sent, result_code::unreachable,
                            core::failure(answer).message);
    }
    auto fallback =
        make_outcome(outcome_kind::unresolved, result_code::outcome_unknown,
                     "no valid answer arrived from the target");
    if (core::is_ok(answer)) {
        directory_.record_contact(target.target_id);
        auto outcome = interpret_dispatch(attempt, core::value(answer));
        if (outcome && outcome->kind != outcome_kind::incomplete)
            return *std::move(outcome);
        if (outcome)
            fallback = *std::move(outcome);
    }
    return resolve(attempt, std::move(fallback));
}

core::duration attempt_runner::remaining_time(core::time_point deadline) const
{
    return std::max(core::duration{}, deadline - clock_.now());
}

core::result<peers::answer_envelope>
attempt_runner::call_agent(attempt const& attempt, std::string_view kind)
{
    auto const timeout = std::clamp(remaining_time(attempt.deadline),
                                    min_call_timeout, max_call_timeout);
    // Looked up for each call, because the pool may have replaced the link.
    auto answer = links_.link_to(attempt.target.address)
                      ->call(kind,
                             core::json(peers::attempt_reference{
                                 .attempt_id = attempt.attempt_id,
                                 .customer = {},
                                 .request_id = {}}),
                             timeout);
    if (core::is_ok(answer))
        directory_.record_contact(attempt.target.target_id);
    return answer;
}

std::optional<attempt_outcome>
attempt_runner::interpret_dispatch(attempt const& attempt,
                                   peers::answer_envelope const& envelope) const
{
    if (core::is_not_run(static_cast<result_code>(envelope.code))) {
        return not_run_outcome(outcome_kind::refused, envelope.code,
                               envelope.message);
    }
    // The incarnation that answers a dispatch is the one that received it, even
    // if the directory still lists an earlier one.
    return interpret(attempt, envelope, incarnation_check::none);
}

std::optional<attempt_outcome>
attempt_runner::interpret(attempt const& attempt,
                          peers::answer_envelope const& envelope,
                          incarnation_check check) const
{
    if (envelope.code != 0)
        return std::nullopt;
    auto decoded = core::message_from<peers::attempt_answer>(envelope.body);
    if (!core::is_ok(decoded))
        return std::nullopt;
    auto answer = core::value(std::move(decoded));
    if (answer.attempt_id != attempt.attempt_id) {
        core::log(core::log_level::warning,
                  "agent answered for another attempt; dropping the answer",
                  {{"target", attempt.target.target_id},
                   {"attempt", attempt.attempt_id},
                   {"answered", answer.attempt_id}});
        return std::nullopt;
    }
    switch (answer.state) {
    case attempt_state::finished:
        return finished_outcome(std::move(answer));
    case attempt_state::failed:
        return failed_outcome(answer);
    case attempt_state::refused:
    case attempt_state::fenced:
        // Another incarnation does not know whether the one that received the
        // dispatch ran the attempt.
        if (check == incarnation_check::same_as_reported &&
            envelope.incarnation != attempt.target.incarnation)
            return std::nullopt;
        return not_run_outcome(answer.state == attempt_state::fenced
                                   ? outcome_kind::fenced
                                   : outcome_kind::refused,
                               answer.code, answer.message);
    case attempt_state::running:
    case attempt_state::unknown:
        return std::nullopt;
    }
    return std::nullopt;
}

attempt_outcome attempt_runner::resolve(attempt const& attempt,
                                        attempt_outcome fallback)
{
    bool is_running = false;
    do {
        if (auto outcome = query_until_known(attempt, fallback))
            return *std::move(outcome);
        if (fallback.kind == outcome_kind::incomplete)
            return fallback;
        auto const answer = fence(attempt);
        if (!core::is_ok(answer))
            return fallback;
        auto const& envelope = core::value(answer);
        if (auto outcome = interpret(attempt, envelope))
            return *std::move(outcome);
        // The dispatch may have arrived and started between the query and the
        // fence.
        is_running = reports_running(envelope);
    } while (is_running && clock_.now() < attempt.deadline);
    return fallback;
}

std::optional<attempt_outcome>
attempt_runner::query_until_known(attempt const& attempt,
                                  attempt_outcome& fallback)
{
    int failures = 0;
    do {
        auto const answer = call_agent(attempt, peers::message_kind::query);
        if (!core::is_ok(answer)) {
            if (++failures >= failed_queries_before_fence)
                return std::nullopt;
            sleep_(query_period);
            continue;
        }
        auto const& envelope = core::value(answer);
        auto outcome = interpret(attempt, envelope);
        if (outcome && outcome->kind == outcome_kind::incomplete) {
            fallback = *std::move(outcome);
            return std::nullopt;
        }
        if (outcome)
            return outcome;
        if (!reports_running(envelope))
            return std::nullopt;
        sleep_(query_period);
    } while (clock_.now() < attempt.deadline);
    return std::nullopt;
}

core::result<peers::answer_envelope>
attempt_runner::fence(attempt const& attempt)
{
    auto answer = call_agent(attempt, peers::message_kind::fence);
    if (!core::is_ok(answer))
        directory_.record_failure(attempt.target.target_id);
    return answer;
}

} // namespace sequoiaroute::targets
