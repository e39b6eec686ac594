#include "callers/request_lookup.hpp"

#include "core/identifier.hpp"
#include "targets/unknown_outcome.hpp"

#include <algorithm>

namespace sequoiaroute::callers {

namespace {

using core::result_code;
using targets::claim_state;

constexpr core::duration agent_query_timeout{300};  // for one agent
constexpr core::duration total_query_timeout{2000}; // for all agents

core::error outcome_unknown(std::string message)
{
    return {result_code::outcome_unknown, std::move(message)};
}

/// Makes an error from a code that was stored or received as a number.
/// @param expects_not_run whether the code has to be a "not run" code, or any
///                        other one
/// @param fallback used if the number is ok or a code of the wrong group
core::error error_with_code(std::uint16_t code_number, bool expects_not_run,
                            result_code fallback, std::string message)
{
    auto const code = static_cast<result_code>(code_number);
    auto const is_valid =
        code != result_code::ok && core::is_not_run(code) == expects_not_run;
    return {is_valid ? code : fallback, std::move(message)};
}

} // namespace

request_lookup::request_lookup(dependencies dependencies)
    : dependencies_(dependencies)
{
}

core::result<targets::request_answer>
request_lookup::find(std::string_view customer, std::string_view request_id)
{
    auto stored = fetch_stored_answer(customer, request_id);
    if (core::is_ok(stored))
        return stored;
    auto const claim = dependencies_.claims.read(customer, request_id);
    // The answer may have been stored between the first fetch and the read of
    // the claim.
    if (core::is_ok(claim) && core::value(claim) &&
        core::value(claim)->state == claim_state::finished) {
        stored = fetch_stored_answer(customer, request_id);
        if (core::is_ok(stored))
            return stored;
    }
    auto findings = query_agents(customer, request_id);
    if (findings.answer)
        return *std::move(findings.answer);
    return error_from_findings(claim, core::code_of(stored), findings);
}

core::result<targets::request_answer>
request_lookup::fetch_stored_answer(std::string_view customer,
                                    std::string_view request_id)
{
    auto const key = "results/" + targets::claim_key(customer, request_id);
    SEQUOIA_TRY_INTO(auto body, dependencies_.objects.fetch(key));
    auto digest = core::digest(body);
    return targets::request_answer{std::move(body), std::move(digest)};
}

request_lookup::agent_findings
request_lookup::query_agents(std::string_view customer,
                             std::string_view request_id)
{
    core::json const query(
        peers::attempt_reference{.attempt_id = {},
                                 .customer = std::string(customer),
                                 .request_id = std::string(request_id)});
    auto targets =
        dependencies_.directory.targets(peers::target_kind::executor);
    // Suspect targets come last, because calls to them may time out and use up
    // the total time.
    std::stable_partition(
        targets.begin(), targets.end(),
        [](auto const& target) { return !target.is_suspect; });
    agent_findings findings;
    auto const deadline = dependencies_.clock.now() + total_query_timeout;
    for (auto const& target : targets) {
        auto const remaining_time = deadline - dependencies_.clock.now();
        if (remaining_time <= core::duration{}) {
            findings.all_agents_answered = false;
            break;
        }
        query_agent(target, query,
                    std::min(remaining_time, agent_query_timeout), findings);
        if (findings.answer)
            break;
    }
    return findings;
}

void request_lookup::query_agent(targets::known_target const& target,
                                 core::json const& query, core::duration limit,
                                 agent_findings& findings)
{
    auto const reply = dependencies_.links.link_to(target.report.address)
                           ->call(peers::message_kind::query, query, limit);
    if (!core::is_ok(reply) || core::value(reply).code != 0) {
        findings.all_agents_answered = false;
        return;
    }
    auto decoded =
        core::message_from<peers::attempt_answer>(core::value(reply).body);
    if (!core::is_ok(decoded)) {
        findings.all_agents_answered = false;
        return;
    }
    auto answer = core::value(std::move(decoded));
    auto const is_intact = answer.length == answer.body.size() &&
                           answer.digest == core::digest(answer.body);
    switch (answer.state) {
    case peers::attempt_state::finished:
        if (is_intact)
            findings.answer = {std::move(answer.body),
                               std::move(answer.digest)};
        else
            findings.failure = core::error{
                result_code::answer_incomplete,
                "the answer does not match its length or its digest"};
        break;
    case peers::attempt_state::failed:
        findings.failure =
            error_with_code(answer.code, false, result_code::execution_failed,
                            std::move(answer.message));
        break;
    case peers::attempt_state::running:
        findings.is_running = true;
        break;
    case peers::attempt_state::unknown:
    case peers::attempt_state::fenced:
    case peers::attempt_state::refused:
        break;
    }
}

core::error
request_lookup::error_from_findings(claim_outcome const& claim,
                                    result_code store_code,
                                    agent_findings const& findings) const
{
    if (findings.is_running)
        return {result_code::still_running, "the request is running"};
    if (core::is_ok(claim) && core::value(claim))
        return error_from_claim(*core::value(claim), store_code);
    if (store_code != result_code::not_found || !core::is_ok(claim)) {
        return {result_code::store_unavailable,
                "the stores cannot be asked for the request; ask again later"};
    }
    if (!findings.all_agents_answered) {
        return outcome_unknown(
            "not every target could be asked for the request");
    }
    if (findings.failure)
        return *findings.failure;
    return {result_code::unknown_request, "no request has this id"};
}

core::error
request_lookup::error_from_claim(targets::request_claim const& claim,
                                 result_code store_code) const
{
    switch (claim.state) {
    case claim_state::failed:
        if (claim.code ==
            static_cast<std::uint16_t>(result_code::outcome_unknown))
            break;
        return error_with_code(claim.code, false, result_code::execution_failed,
                               claim.message);
    case claim_state::not_run:
        return error_with_code(claim.code, true, result_code::refused_not_run,
                               claim.message);
    case claim_state::finished:
        if (store_code != result_code::not_found) {
            return {result_code::store_unavailable,
                    "the request is finished, but its result cannot be read "
                    "now; ask again later"};
        }
        return {result_code::internal_error,
                "the request is finished, but its result is not stored"};
    case claim_state::claimed:
        if (dependencies_.claims.is_held_by_live_entry(claim)) {
            return {result_code::still_running,
                    "an entry is processing the request"};
        }
        break;
    case claim_state::started:
        break;
    }
    return targets::unrepeatable_outcome_unknown();
}

} // namespace sequoiaroute::callers
