#include "targets/request_dispatcher.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"
#include "policy/overload_estimate.hpp"
#include "targets/dispatch_history.hpp"

#include <algorithm>

#include <absl/random/random.h>

namespace sequoiaroute::targets {

namespace {

using core::result_code;

constexpr core::duration slot_poll_period{20};
// Reports arrive every 5 s, but urgent requests must start within 3.3 s. A
// request that has waited this long also tries targets that were reported as
// full, whose agents refuse it if they still are.
constexpr core::duration report_trust_period{500};
constexpr core::duration initial_backoff{50};
constexpr core::duration max_backoff{1000};

bool is_store_failure(result_code code)
{
    return code == result_code::store_unavailable ||
           code == result_code::write_unknown ||
           code == result_code::timed_out || code == result_code::unreachable;
}

} // namespace

struct request_dispatcher::dispatch_state : dispatch_history
{
    core::duration backoff = initial_backoff;
};

request_dispatcher::request_dispatcher(dependencies dependencies,
                                       std::string data_centre)
    : dependencies_(std::move(dependencies)),
      selection_(std::move(data_centre)),
      runner_(dependencies_.links, dependencies_.directory, dependencies_.clock,
              dependencies_.sleep)
{
}

dispatch_outcome request_dispatcher::send(urgent_request const& request,
                                          attempt_authorizer* authorizer)
{
    dispatch_outcome outcome{core::error{}, {}};
    if (!enter_queue(request.service, outcome))
        return outcome;
    outcome.answer = run(request, authorizer);
    return outcome;
}

bool request_dispatcher::enter_queue(std::string_view service,
                                     dispatch_outcome& refusal)
{
    return waiting_.with_shard(service, [&](auto& shard) {
        auto& waiting = shard[std::string(service)];
        auto const targets =
            dependencies_.directory.targets(peers::target_kind::executor);
        auto const reason = policy::overload_estimate::refusal(
            executor_views(targets, true), service, waiting);
        if (reason) {
            refusal = {reason->error, reason->retry_after};
            if (waiting == 0)
                shard.erase(std::string(service));
            return false;
        }
        ++waiting;
        return true;
    });
}

void request_dispatcher::rejoin_queue(std::string_view service)
{
    waiting_.with_shard(service,
                        [&](auto& shard) { ++shard[std::string(service)]; });
}

void request_dispatcher::leave_queue(std::string_view service)
{
    waiting_.with_shard(service, [&](auto& shard) {
        auto const found = shard.find(std::string(service));
        if (--found->second == 0)
            shard.erase(found);
    });
}

core::result<request_answer>
request_dispatcher::run(urgent_request const& request,
                        attempt_authorizer* authorizer)
{
    dispatch_state state;
    while (true) {
        auto slot = wait_for_slot(request, state);
        leave_queue(request.service);
        if (!slot)
            return state.final_error(request);
        if (auto end = attempt(request, authorizer, *slot, state))
            return *std::move(end);
        slot.reset();
        // Reports are up to 5 s old. If refused requests did not count as
        // waiting, all later requests would be admitted although the slots are
        // occupied.
        rejoin_queue(request.service);
        back_off(request, state);
    }
}

std::optional<request_dispatcher::reserved_slot>
request_dispatcher::wait_for_slot(urgent_request const& request,
                                  dispatch_state& state)
{
    auto const started_at = dependencies_.clock.now();
    while (dependencies_.clock.now() < request.deadline) {
        if (!has_usable_target(request, state)) {
            state.end = dispatch_stop_reason::no_target;
            return std::nullopt;
        }
        auto const waited = dependencies_.clock.now() - started_at;
        auto found = reserve_slot(request, state, waited < report_trust_period);
        if (found)
            return found;
        // Targets that refused the request may have free slots by now.
        state.refused_targets.clear();
        dependencies_.sleep(slot_poll_period);
    }
    state.end = dispatch_stop_reason::deadline;
    return std::nullopt;
}

bool request_dispatcher::has_usable_target(urgent_request const& request,
                                           dispatch_state const& state)
{
    auto const targets =
        dependencies_.directory.targets(peers::target_kind::executor);
    return std::ranges::any_of(
        executor_views(targets, true), [&](auto const& view) {
            return policy::target_selection::accepts(view, request.service) &&
                   !state.may_have_run_at(view.target_id);
        });
}

std::optional<request_dispatcher::reserved_slot>
request_dispatcher::reserve_slot(urgent_request const& request,
                                 dispatch_state const& state,
                                 bool trusts_reports)
{
    thread_local absl::BitGen random;
    auto const targets =
        dependencies_.directory.targets(peers::target_kind::executor);
    auto const excluded = state.excluded_targets();
    auto const index =
        selection_.select(executor_views(targets, trusts_reports),
                          request.service, excluded, random);
    if (!index)
        return std::nullopt;
    auto const& target = targets[*index].report;
    auto reservation = slot_tracker_.reserve(target);
    if (!reservation)
        return std::nullopt;
    return reserved_slot{target, *std::move(reservation)};
}

std::vector<policy::executor_view>
request_dispatcher::executor_views(std::vector<known_target> const& targets,
                                   bool trusts_reports)
{
    std::vector<policy::executor_view> views;
    views.reserve(targets.size());
    for (auto const& target : targets) {
        auto const& report = target.report;
        views.push_back({report.target_id, report.data_centre, report.service,
                         report.slots,
                         trusts_reports ? slot_tracker_.free_slots(report)
                                        : slot_tracker_.own_free_slots(report),
                         report.is_leaving, target.is_suspect});
    }
    return views;
}

std::optional<core::result<request_answer>>
request_dispatcher::attempt(urgent_request const& request,
                            attempt_authorizer* authorizer,
                            reserved_slot const& slot, dispatch_state& state)
{
    peers::dispatch message;
    message.attempt_id = core::make_identifier();
    message.request_id = request.request_id;
    message.customer = request.customer;
    message.body = request.body;
    message.is_unrepeatable = request.is_unrepeatable;
    if (authorizer != nullptr) {
        auto const number =
            authorizer->authorize(message.attempt_id, slot.target.target_id);
        if (!core::is_ok(number)) {
            auto const& failure = core::failure(number);
            if (!is_store_failure(failure.code))
                return failure;
            state.end = dispatch_stop_reason::store_unavailable;
            return state.final_error(request);
        }
        message.claim_attempt = core::value(number);
    }
    auto outcome =
        runner_.run(slot.target, std::move(message), request.deadline);
    return handle_outcome(request, slot.target.target_id, std::move(outcome),
                          state);
}

std::optional<core::result<request_answer>> request_dispatcher::handle_outcome(
    urgent_request const& request, std::string const& target_id,
    attempt_outcome outcome, dispatch_state& state)
{
    if (outcome.kind == outcome_kind::finished)
        return std::move(outcome.answer);
    core::log(core::log_level::info, "attempt ended without an answer",
              {{"request", request.request_id},
               {"customer", request.customer},
               {"target", target_id},
               {"reason", outcome.error.message}});
    state.record_outcome(target_id, outcome);
    if (!state.may_retry(request, outcome.kind))
        return state.final_error(request);
    // Attempts that did not run cost no executor time, and the backoff limits
    // their rate.
    auto const needs_token = dispatch_history::may_have_run(outcome.kind);
    if (needs_token && !dependencies_.budget.try_consume(
                           request.customer, dependencies_.clock.now()))
        return state.final_error(request);
    return std::nullopt;
}

void request_dispatcher::back_off(urgent_request const& request,
                                  dispatch_state& state)
{
    thread_local absl::BitGen random;
    auto const jittered = absl::Uniform<core::duration::rep>(
        absl::IntervalClosedClosed, random, state.backoff.count() / 2,
        state.backoff.count());
    auto const remaining_time = request.deadline - dependencies_.clock.now();
    dependencies_.sleep(std::clamp(core::duration(jittered), core::duration{},
                                   std::max(core::duration{}, remaining_time)));
    state.backoff = std::min(max_backoff, state.backoff * 2);
}

} // namespace sequoiaroute::targets
