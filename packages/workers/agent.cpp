#include "workers/agent.hpp"

#include "core/log.hpp"

#include <utility>

#include <fmt/format.h>

namespace sequoiaroute::workers {

namespace {

using core::result_code;
namespace kind = peers::message_kind;

/// How often the parts are checked for work that is due.
constexpr core::duration tick_period{250};
constexpr core::duration registry_expiry_period{1000};
constexpr core::duration row_retry_delay{50};

/// Decodes the body of a request and passes it to a function.
/// @tparam Message the type of the body
/// @return the result of the function, or the error of the decoding
template <class Message, class Function>
core::result<core::json> call_with_message(peers::envelope const& request,
                                           Function&& function)
{
    SEQUOIA_TRY_INTO(auto const message,
                     core::message_from<Message>(request.body));
    return std::forward<Function>(function)(message);
}

core::result<core::json> make_answer_body(core::status const& outcome)
{
    if (!is_ok(outcome))
        return failure(outcome);
    return core::json::object();
}

} // namespace

agent::agent(agent_settings settings, std::string incarnation,
             agent_dependencies const& dependencies)
    : settings_(std::move(settings)), incarnation_(std::move(incarnation)),
      clock_(dependencies.clock), registry_(clock_, settings_.registry),
      row_writer_(
          dependencies.table,
          {incarnation_, settings_.write_recovery_limit, row_retry_delay}),
      permits_(row_writer_, incarnation_),
      result_writer_(dependencies.store, permits_,
                     settings_.unstored_result_bytes),
      runner_(settings_.slots, clock_, registry_, dependencies.executor,
              permits_, result_writer_),
      supervisor_(settings_.supervisor, clock_, dependencies.runtime),
      gang_monitor_(clock_, supervisor_, settings_.gang_beats.silence_limit),
      gang_beat_sender_(settings_.gang_beats, clock_, supervisor_,
                        dependencies.links),
      entry_client_(settings_.entry_client, clock_, dependencies.links,
                    [this] { return make_report(); })
{
}

peers::target_report agent::make_report() const
{
    peers::target_report report;
    report.target_id = settings_.agent_id;
    report.incarnation = incarnation_;
    report.address = settings_.advertised_address;
    report.kind = settings_.kind;
    report.data_centre = settings_.data_centre;
    report.rack = settings_.rack;
    report.is_leaving = is_leaving_;
    if (settings_.kind == peers::target_kind::executor) {
        report.service = settings_.service;
        report.slots = settings_.slots;
        report.slots_used = runner_.slots_used();
    } else {
        report.total = settings_.supervisor.total;
        report.in_use = supervisor_.in_use();
    }
    return report;
}

void agent::recover()
{
    if (settings_.kind == peers::target_kind::worker)
        supervisor_.recover();
}

peers::answer_envelope agent::handle(peers::envelope const& request)
{
    auto outcome = answer(request);
    peers::answer_envelope reply;
    reply.incarnation = incarnation_;
    if (is_ok(outcome)) {
        reply.body = value(std::move(outcome));
    } else {
        reply.code = static_cast<std::uint16_t>(failure(outcome).code);
        reply.message = failure(outcome).message;
    }
    return reply;
}

core::result<core::json> agent::answer(peers::envelope const& request)
{
    if (request.kind == kind::rules)
        return entry_client_.rules();
    if (request.kind == kind::dump)
        return dump();
    if (settings_.kind == peers::target_kind::executor)
        return answer_executor(request);
    return answer_worker(request);
}

core::result<core::json> agent::answer_executor(peers::envelope const& request)
{
    if (request.kind == kind::dispatch) {
        return call_with_message<peers::dispatch>(
            request, [this](auto const& message) -> core::result<core::json> {
                return core::json(runner_.dispatch(message));
            });
    }
    if (request.kind == kind::query) {
        return call_with_message<peers::attempt_reference>(
            request, [this](auto const& message) -> core::result<core::json> {
                return core::json(registry_.query(message));
            });
    }
    if (request.kind == kind::fence) {
        return call_with_message<peers::attempt_reference>(
            request, [this](auto const& message) -> core::result<core::json> {
                return core::json(registry_.fence(message.attempt_id));
            });
    }
    return core::error{result_code::bad_request,
                       fmt::format("the agent of an executor does not handle "
                                   "\"{}\"",
                                   request.kind)};
}

core::result<core::json> agent::answer_worker(peers::envelope const& request)
{
    if (request.kind == kind::reserve) {
        return call_with_message<peers::task_command>(
            request, [this](auto const& message) {
                return make_answer_body(supervisor_.reserve(message));
            });
    }
    if (request.kind == kind::start) {
        return call_with_message<peers::task_command>(
            request, [this](auto const& message) {
                return make_answer_body(supervisor_.start(message));
            });
    }
    if (request.kind == kind::stop || request.kind == kind::release) {
        return call_with_message<peers::task_stop>(
            request, [this](auto const& message) -> core::result<core::json> {
                SEQUOIA_TRY_INTO(auto const report, supervisor_.stop(message));
                return core::json(report);
            });
    }
    if (request.kind == kind::gang_beat) {
        return call_with_message<peers::gang_beat>(
            request, [this](auto const& message) -> core::result<core::json> {
                return core::json(gang_monitor_.handle_beat(message));
            });
    }
    return core::error{result_code::bad_request,
                       fmt::format("the agent of a worker does not handle "
                                   "\"{}\"",
                                   request.kind)};
}

void agent::start(core::timer_service& timers)
{
    auto const run_every = [&](core::duration period,
                               std::function<void()> function) {
        subscriptions_.push_back(timers.subscribe(period, std::move(function)));
    };
    run_every(tick_period, [this] { entry_client_.tick(); });
    run_every(tick_period, [this] { result_writer_.flush(); });
    run_every(registry_expiry_period, [this] { registry_.expire(); });
    if (settings_.kind == peers::target_kind::worker)
        start_worker(timers);
}

void agent::start_worker(core::timer_service& timers)
{
    auto const run_every = [&](core::duration period,
                               std::function<void()> function) {
        subscriptions_.push_back(timers.subscribe(period, std::move(function)));
    };
    run_every(tick_period, [this] { supervisor_.tick(); });
    run_every(tick_period, [this] {
        gang_monitor_.tick();
        gang_beat_sender_.stop_members_of_silent_leads();
        check_contact();
    });
    run_every(settings_.gang_beat_period,
              [this] { gang_beat_sender_.send_beats(); });
    run_every(tick_period, [this] { send_member_reports(); });
}

void agent::check_contact()
{
    if (supervisor_.is_idle())
        return;
    if (entry_client_.silence() >= settings_.contact_limit) {
        supervisor_.stop_all(settings_.checkpoint_grace,
                             "no entry answered within the contact limit");
    } else if (entry_client_.authority_age() >= settings_.authority_limit) {
        supervisor_.stop_all(settings_.checkpoint_grace,
                             "no entry had contact with the table or the "
                             "decider within the authority limit");
    }
}

void agent::send_member_reports()
{
    for (auto const& report : supervisor_.pending_reports()) {
        auto const sent = entry_client_.send_member_report(report);
        if (is_ok(sent)) {
            supervisor_.acknowledge(report);
            continue;
        }
        // If no entry answers, the other reports would only time out as well.
        // Any other error concerns this report alone, for example
        // still_running: the decider accepts that a job finished only after all
        // its members have reported.
        if (core::code_of(sent) == core::result_code::unreachable ||
            core::code_of(sent) == core::result_code::timed_out)
            return;
    }
}

void agent::begin_drain()
{
    is_leaving_ = true;
    runner_.set_leaving();
    supervisor_.set_leaving();
    supervisor_.stop_all(settings_.drain_grace, "the worker is leaving");
    entry_client_.send_report();
}

bool agent::is_idle() const
{
    return runner_.slots_used() == 0 && supervisor_.is_idle();
}

bool agent::is_drained() const
{
    return is_idle() && result_writer_.pending() == 0 &&
           supervisor_.pending_reports().empty();
}

core::json agent::dump()
{
    return {{"agent", core::json(make_report())},
            {"settings", settings_.values_by_key},
            {"attempts", registry_.dump()},
            {"results", result_writer_.dump()},
            {"members", supervisor_.dump()},
            {"contact", entry_client_.dump()}};
}

} // namespace sequoiaroute::workers
