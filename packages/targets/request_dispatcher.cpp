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
// Reports arrive every 5 s while urgent work must start within 3.3 s. A request
// that has waited this long tries targets that were reported as full; their
// agents refuse it if they still are.
constexpr core::duration trust_in_reports{500};
constexpr core::duration first_delay{50};
constexpr core::duration longest_delay{1000};

bool is_store_trouble(result_code code)
{
    return code == result_code::store_unavailable ||
           code == result_code::write_unknown ||
           code == result_code::timed_out || code == result_code::unreachable;
}

} // namespace

struct request_dispatcher::progress : dispatch_history
{
    core::duration delay = first_delay;
};

request_dispatcher::request_dispatcher(environment environment,
                                       std::string data_centre)
    : environment_(std::move(environment)), selection_(std::move(data_centre)),
      runner_(environment_.links, environment_.directory, environment_.clock,
              environment_.pause)
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
            environment_.directory.targets(peers::target_kind::executor);
        auto const reason = policy::overload_estimate::refusal(
            views(targets, true), service, waiting);
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
    progress progress;
    while (true) {
        auto place = wait_for_place(request, progress);
        leave_queue(request.service);
        if (!place)
            return progress.final_error(request);
        if (auto end = attempt(request, authorizer, *place, progress))
            return *std::move(end);
        place.reset();
        // Reports are up to 5 s old, so refused requests must count as waiting
        // or every later one would be admitted to slots that are taken.
        rejoin_queue(request.service);
        back_off(request, progress);
    }
}

std::optional<request_dispatcher::place>
request_dispatcher::wait_for_place(urgent_request const& request,
                                   progress& progress)
{
    auto const started_at = environment_.clock.now();
    while (environment_.clock.now() < request.deadline) {
        if (!has_usable_target(request, progress)) {
            progress.end = dispatch_end::no_target;
            return std::nullopt;
        }
        auto const waited = environment_.clock.now() - started_at;
        auto found = take_place(request, progress, waited < trust_in_reports);
        if (found)
            return found;
        // Targets that refused may have room by now.
        progress.refused_targets.clear();
        environment_.pause(slot_poll_period);
    }
    progress.end = dispatch_end::deadline;
    return std::nullopt;
}

bool request_dispatcher::has_usable_target(urgent_request const& request,
                                           progress const& progress)
{
    auto const targets =
        environment_.directory.targets(peers::target_kind::executor);
    return std::ranges::any_of(views(targets, true), [&](auto const& view) {
        return policy::target_selection::accepts(view, request.service) &&
               !progress.has_run_at(view.target_id);
    });
}

std::optional<request_dispatcher::place>
request_dispatcher::take_place(urgent_request const& request,
                               progress const& progress, bool trusts_reports)
{
    thread_local absl::BitGen random;
    auto const targets =
        environment_.directory.targets(peers::target_kind::executor);
    auto const excluded = progress.excluded_targets();
    auto const index = selection_.select(views(targets, trusts_reports),
                                         request.service, excluded, random);
    if (!index)
        return std::nullopt;
    auto const& target = targets[*index].report;
    auto reservation = ledger_.reserve(target);
    if (!reservation)
        return std::nullopt;
    return place{target, *std::move(reservation)};
}

std::vector<policy::executor_view>
request_dispatcher::views(std::vector<known_target> const& targets,
                          bool trusts_reports)
{
    std::vector<policy::executor_view> views;
    views.reserve(targets.size());
    for (auto const& target : targets) {
        auto const& report = target.report;
        views.push_back({report.target_id, report.data_centre, report.service,
                         report.slots,
                         trusts_reports ? ledger_.free_slots(report)
                                        : ledger_.own_free_slots(report),
                         report.is_leaving, target.is_suspect});
    }
    return views;
}

std::optional<core::result<request_answer>>
request_dispatcher::attempt(urgent_request const& request,
                            attempt_authorizer* authorizer, place const& place,
                            progress& progress)
{
    peers::dispatch message;
    message.attempt_id = core::make_identifier();
    message.request_id = request.request_id;
    message.customer = request.customer;
    message.body = request.body;
    message.is_unrepeatable = request.is_unrepeatable;
    if (authorizer != nullptr) {
        auto const number =
            authorizer->authorize(message.attempt_id, place.target.target_id);
        if (!core::is_ok(number)) {
            auto const& failure = core::failure(number);
            if (!is_store_trouble(failure.code))
                return failure;
            progress.end = dispatch_end::store_unavailable;
            return progress.final_error(request);
        }
        message.claim_attempt = core::value(number);
    }
    auto outcome =
        runner_.run(place.target, std::move(message), request.deadline);
    return note_outcome(request, place.target.target_id, std::move(outcome),
                        progress);
}

std::optional<core::result<request_answer>>
request_dispatcher::note_outcome(urgent_request const& request,
                                 std::string const& target_id,
                                 attempt_outcome outcome, progress& progress)
{
    if (outcome.fate == attempt_fate::finished)
        return std::move(outcome.answer);
    core::log(core::log_level::info, "attempt ended without an answer",
              {{"request", request.request_id},
               {"customer", request.customer},
               {"target", target_id},
               {"reason", outcome.error.message}});
    progress.note(target_id, outcome);
    if (!progress.may_run_again(request, outcome.fate))
        return progress.final_error(request);
    // Refused attempts cost no executor time and are bounded by the delay.
    auto const needs_token = dispatch_history::may_have_run(outcome.fate);
    if (needs_token && !environment_.budget.try_take(request.customer,
                                                     environment_.clock.now()))
        return progress.final_error(request);
    return std::nullopt;
}

void request_dispatcher::back_off(urgent_request const& request,
                                  progress& progress)
{
    thread_local absl::BitGen random;
    auto const jittered = absl::Uniform<core::duration::rep>(
        absl::IntervalClosedClosed, random, progress.delay.count() / 2,
        progress.delay.count());
    auto const left = request.deadline - environment_.clock.now();
    environment_.pause(std::clamp(core::duration(jittered), core::duration{},
                                  std::max(core::duration{}, left)));
    progress.delay = std::min(longest_delay, progress.delay * 2);
}

} // namespace sequoiaroute::targets
