#include "targets/attempt_runner.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

namespace {

using core::result_code;
using peers::attempt_state;

// Part of the caller's time that is kept back to find out what became of an
// attempt whose answer is missing.
constexpr core::duration longest_reserve{1000};
constexpr int reserve_divisor = 5;
constexpr core::duration ask_limit{1000};
constexpr core::duration shortest_ask_limit{200};
constexpr core::duration query_period{100};
// One failed query may be due to a connection that is being replaced.
constexpr int failed_queries_before_fence = 2;

attempt_outcome with_error(attempt_fate fate, result_code code,
                           std::string message)
{
    return {fate, {}, {code, std::move(message)}};
}

attempt_outcome finished(peers::attempt_answer answer)
{
    auto const is_complete = answer.body.size() == answer.length &&
                             core::digest(answer.body) == answer.digest;
    if (!is_complete) {
        return with_error(attempt_fate::incomplete,
                          result_code::answer_incomplete,
                          "the answer does not match its length or its digest");
    }
    return {attempt_fate::finished,
            {std::move(answer.body), std::move(answer.digest)},
            {}};
}

attempt_outcome failed(peers::attempt_answer const& answer)
{
    auto const code = static_cast<result_code>(answer.code);
    auto const is_usable = code != result_code::ok && !core::is_not_run(code);
    return with_error(attempt_fate::failed,
                      is_usable ? code : result_code::execution_failed,
                      answer.message);
}

attempt_outcome refused(attempt_fate fate, std::uint16_t number,
                        std::string const& message)
{
    auto const code = static_cast<result_code>(number);
    return with_error(
        fate, core::is_not_run(code) ? code : result_code::refused_not_run,
        message);
}

bool says_running(peers::answer_envelope const& envelope)
{
    auto const answer =
        core::message_from<peers::attempt_answer>(envelope.body);
    return envelope.code == 0 && core::is_ok(answer) &&
           core::value(answer).state == attempt_state::running;
}

} // namespace

attempt_runner::attempt_runner(peers::link_pool& links,
                               target_directory& directory,
                               core::clock const& clock, sleep_function pause)
    : links_(links), directory_(directory), clock_(clock),
      pause_(std::move(pause))
{
}

attempt_outcome attempt_runner::run(peers::target_report const& target,
                                    peers::dispatch message,
                                    core::time_point deadline)
{
    attempt const attempt{target, message.attempt_id, deadline};
    auto const left = remaining(deadline);
    auto const limit = left - std::min(longest_reserve, left / reserve_divisor);
    message.time_limit_ms = limit.count();
    auto const answer = links_.link_to(target.address)
                            ->call(peers::message_kind::dispatch,
                                   core::json(std::move(message)), limit);
    if (core::code_of(answer) == result_code::unreachable) {
        directory_.record_failure(target.target_id);
        return with_error(attempt_fate::not_sent, result_code::unreachable,
                          core::failure(answer).message);
    }
    auto fallback =
        with_error(attempt_fate::unresolved, result_code::outcome_unknown,
                   "the answer of the target is missing");
    if (core::is_ok(answer)) {
        directory_.record_contact(target.target_id);
        auto outcome = interpret_dispatch(attempt, core::value(answer));
        if (outcome && outcome->fate != attempt_fate::incomplete)
            return *std::move(outcome);
        if (outcome)
            fallback = *std::move(outcome);
    }
    return resolve(attempt, std::move(fallback));
}

core::duration attempt_runner::remaining(core::time_point deadline) const
{
    return std::max(core::duration{}, deadline - clock_.now());
}

core::result<peers::answer_envelope> attempt_runner::ask(attempt const& attempt,
                                                         std::string_view kind)
{
    auto const limit =
        std::clamp(remaining(attempt.deadline), shortest_ask_limit, ask_limit);
    // The pool is asked each time, because it may have replaced the link.
    auto answer = links_.link_to(attempt.target.address)
                      ->call(kind,
                             core::json(peers::attempt_reference{
                                 .attempt_id = attempt.attempt_id,
                                 .customer = {},
                                 .request_id = {}}),
                             limit);
    if (core::is_ok(answer))
        directory_.record_contact(attempt.target.target_id);
    return answer;
}

std::optional<attempt_outcome>
attempt_runner::interpret_dispatch(attempt const& attempt,
                                   peers::answer_envelope const& envelope) const
{
    if (core::is_not_run(static_cast<result_code>(envelope.code))) {
        return refused(attempt_fate::refused, envelope.code, envelope.message);
    }
    // The agent that answers the dispatch itself is the one that received it,
    // whatever incarnation was reported before.
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
                  "dropped an answer that belongs to another attempt",
                  {{"target", attempt.target.target_id},
                   {"attempt", attempt.attempt_id},
                   {"answered", answer.attempt_id}});
        return std::nullopt;
    }
    switch (answer.state) {
    case attempt_state::finished:
        return finished(std::move(answer));
    case attempt_state::failed:
        return failed(answer);
    case attempt_state::refused:
    case attempt_state::fenced:
        // Another incarnation cannot speak for the one that was sent to.
        if (check == incarnation_check::same_as_reported &&
            envelope.incarnation != attempt.target.incarnation)
            return std::nullopt;
        return refused(answer.state == attempt_state::fenced
                           ? attempt_fate::fenced
                           : attempt_fate::refused,
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
        if (fallback.fate == attempt_fate::incomplete)
            return fallback;
        auto const answer = fence(attempt);
        if (!core::is_ok(answer))
            return fallback;
        auto const& envelope = core::value(answer);
        if (auto outcome = interpret(attempt, envelope))
            return *std::move(outcome);
        // The dispatch may have been accepted between the query and the fence.
        is_running = says_running(envelope);
    } while (is_running && clock_.now() < attempt.deadline);
    return fallback;
}

std::optional<attempt_outcome>
attempt_runner::query_until_known(attempt const& attempt,
                                  attempt_outcome& fallback)
{
    int failures = 0;
    do {
        auto const answer = ask(attempt, peers::message_kind::query);
        if (!core::is_ok(answer)) {
            if (++failures >= failed_queries_before_fence)
                return std::nullopt;
            pause_(query_period);
            continue;
        }
        auto const& envelope = core::value(answer);
        auto outcome = interpret(attempt, envelope);
        if (outcome && outcome->fate == attempt_fate::incomplete) {
            fallback = *std::move(outcome);
            return std::nullopt;
        }
        if (outcome)
            return outcome;
        if (!says_running(envelope))
            return std::nullopt;
        pause_(query_period);
    } while (clock_.now() < attempt.deadline);
    return std::nullopt;
}

core::result<peers::answer_envelope>
attempt_runner::fence(attempt const& attempt)
{
    auto answer = ask(attempt, peers::message_kind::fence);
    if (!core::is_ok(answer))
        directory_.record_failure(attempt.target.target_id);
    return answer;
}

} // namespace sequoiaroute::targets
