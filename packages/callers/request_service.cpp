#include "callers/request_service.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"
#include "targets/claim_authorizer.hpp"
#include "targets/unknown_outcome.hpp"

#include <algorithm>
#include <exception>

namespace sequoiaroute::callers {

namespace {

using core::result_code;
using targets::claim_state;
using targets::dispatch_outcome;
using targets::urgent_request;

constexpr core::duration lookup_poll_interval{200};
/// Retry-After for refusals because of the state of this entry: it is draining,
/// has no confirmed rules, or cannot reach the table.
constexpr core::duration unavailable_retry_after{2000};

dispatch_outcome make_outcome(core::result<targets::request_answer> answer,
                              core::duration retry_after = {})
{
    return {std::move(answer), retry_after};
}

core::error id_reused_error()
{
    return {result_code::request_id_reused,
            "the request id was used before for another request body"};
}

} // namespace

request_service::request_service(dependencies dependencies)
    : dependencies_(std::move(dependencies))
{
}

dispatch_outcome request_service::submit(request_submission const& submission)
{
    urgent_request const request{submission.request_id,
                                 submission.customer,
                                 submission.service,
                                 submission.body,
                                 core::digest(submission.body),
                                 submission.is_unrepeatable,
                                 dependencies_.clock.now() +
                                     submission.time_limit};
    auto const key = targets::claim_key(request.customer, request.request_id);
    auto own_request = std::make_shared<in_flight_request>();
    own_request->body_digest = request.body_digest;
    auto const registered = in_flight_.with_shard(key, [&](auto& shard) {
        return shard.try_emplace(key, own_request).first->second;
    });
    if (registered != own_request)
        return wait_for_in_flight(*registered, request);
    auto outcome = make_outcome(core::error{});
    if (auto cached = find_cached(key, request.body_digest))
        outcome = *std::move(cached);
    else
        outcome = run_and_catch(request);
    if (core::is_ok(outcome.answer)) {
        answer_cache_.insert(key, request.body_digest,
                             core::value(outcome.answer));
    }
    in_flight_.with_shard(key, [&](auto& shard) { shard.erase(key); });
    own_request->promise.set_value(outcome);
    return outcome;
}

std::optional<dispatch_outcome>
request_service::find_cached(std::string const& key,
                             std::string const& body_digest) const
{
    auto const found = answer_cache_.find(key);
    if (!found)
        return std::nullopt;
    if (found->body_digest != body_digest)
        return make_outcome(id_reused_error());
    return make_outcome(found->answer);
}

dispatch_outcome
request_service::wait_for_in_flight(in_flight_request const& in_flight,
                                    urgent_request const& request)
{
    if (in_flight.body_digest != request.body_digest)
        return make_outcome(id_reused_error());
    auto const remaining_time = request.deadline - dependencies_.clock.now();
    if (in_flight.outcome.wait_for(remaining_time) == std::future_status::ready)
        return in_flight.outcome.get();
    return make_outcome(
        core::error{result_code::still_running,
                    "the request is running; ask for its result "
                    "later under the same request id"});
}

dispatch_outcome request_service::run_and_catch(urgent_request const& request)
{
    // If an exception left submit(), the request would stay in flight, and all
    // later submissions of its id would wait for it.
    try {
        return admit_and_run(request);
    } catch (std::exception const& exception) {
        core::log(core::log_level::error, "request ended by an exception",
                  {{"request", request.request_id},
                   {"customer", request.customer},
                   {"reason", exception.what()}});
        return make_outcome(
            core::error{result_code::outcome_unknown,
                        "the entry failed; the request may have run"});
    }
}

dispatch_outcome request_service::admit_and_run(urgent_request const& request)
{
    if (is_draining_) {
        return make_outcome(
            core::error{result_code::stopping_not_run,
                        "this entry is stopping; use another one"},
            unavailable_retry_after);
    }
    auto const state = dependencies_.rules.admission_state();
    if (!core::is_ok(state))
        return make_outcome(core::failure(state), unavailable_retry_after);
    auto const rules = dependencies_.rules.rules();
    auto const customer = rules->customers.find(request.customer);
    if (customer == rules->customers.end()) {
        return make_outcome(
            core::error{result_code::forbidden,
                        "the rules do not name customer " + request.customer});
    }
    auto const live_entries = dependencies_.directory.peer_entries().size() + 1;
    auto const admitted = admission_.admit(
        request.customer, customer->second.limits,
        static_cast<int>(live_entries), dependencies_.clock.now());
    if (auto const* refusal = std::get_if<policy::admission_refusal>(&admitted))
        return make_outcome(refusal->error, refusal->retry_after);
    dependencies_.budget.record_request(request.customer,
                                        dependencies_.clock.now());
    if (request.is_unrepeatable)
        return run_unrepeatable(request);
    return dependencies_.dispatcher.send(request, nullptr);
}

dispatch_outcome
request_service::run_unrepeatable(urgent_request const& request)
{
    if (auto earlier = find_earlier_outcome(request))
        return *std::move(earlier);
    targets::claim_authorizer authorizer(dependencies_.claims, request);
    auto outcome = dependencies_.dispatcher.send(request, &authorizer);
    auto const code = core::code_of(outcome.answer);
    if (core::is_not_run(code))
        authorizer.mark_not_run(core::failure(outcome.answer));
    if (code == result_code::still_running)
        outcome.answer = wait_for_earlier_outcome(request);
    // The agent stores the answer of an unrepeatable request before it sends
    // it, so an answer that arrived incomplete can be read from the store.
    if (code == result_code::answer_incomplete) {
        auto stored =
            dependencies_.lookup.find(request.customer, request.request_id);
        if (core::is_ok(stored))
            outcome.answer = std::move(stored);
    }
    return outcome;
}

std::optional<dispatch_outcome>
request_service::find_earlier_outcome(urgent_request const& request)
{
    auto const claim =
        dependencies_.claims.read(request.customer, request.request_id);
    if (!core::is_ok(claim)) {
        return make_outcome(core::error{result_code::not_run_store_unavailable,
                                        "the table is unavailable, so this "
                                        "submission was not run"},
                            unavailable_retry_after);
    }
    auto const& row = core::value(claim);
    if (!row)
        return std::nullopt;
    if (row->body_digest != request.body_digest)
        return make_outcome(id_reused_error());
    if (row->state == claim_state::claimed ||
        row->state == claim_state::not_run)
        return std::nullopt;
    return make_outcome(wait_for_earlier_outcome(request));
}

core::result<targets::request_answer>
request_service::wait_for_earlier_outcome(urgent_request const& request)
{
    while (true) {
        auto found =
            dependencies_.lookup.find(request.customer, request.request_id);
        auto const code = core::code_of(found);
        auto const may_change = code == result_code::still_running ||
                                code == result_code::store_unavailable ||
                                code == result_code::outcome_unknown;
        if (!may_change)
            return found;
        auto const remaining_time =
            request.deadline - dependencies_.clock.now();
        if (remaining_time <= core::duration{})
            return targets::unrepeatable_outcome_unknown();
        dependencies_.sleep(std::min(remaining_time, lookup_poll_interval));
    }
}

core::result<targets::request_answer>
request_service::find(std::string_view customer, std::string_view request_id)
{
    auto const key = targets::claim_key(customer, request_id);
    // submit() caches an answer before it removes the request from those in
    // flight, so an answer cannot be missed in this order.
    auto const is_in_flight = in_flight_.with_shard(
        key, [&](auto& shard) { return shard.contains(key); });
    if (is_in_flight) {
        return core::error{result_code::still_running,
                           "the request is running"};
    }
    if (auto const found = answer_cache_.find(key))
        return found->answer;
    return dependencies_.lookup.find(customer, request_id);
}

} // namespace sequoiaroute::callers
