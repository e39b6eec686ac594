#include "decider/job_engine.hpp"

#include "core/log.hpp"

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using core::result_code;

/// How often the loop looks whether a round is due.
constexpr core::duration round_check_period = std::chrono::milliseconds(50);
constexpr core::duration pass_on_limit = std::chrono::seconds(2);
/// A status must not wait long for a note that is only an explanation.
constexpr core::duration note_limit = std::chrono::milliseconds(300);

/// Marks a message that was passed on once. Two entries that each believe the
/// other one to be the decider would pass it to and fro otherwise.
constexpr char passed_on_key[] = "is_passed_on";

constexpr core::duration lease_write_limit = std::chrono::milliseconds(800);
constexpr core::duration job_write_limit = std::chrono::seconds(2);
constexpr core::duration service_write_limit = std::chrono::seconds(4);

/// Each writer has its own name in the tokens, because each one counts its
/// writes from one.
platform::recovering_writer_options
writer_options(engine_dependencies const& dependencies, std::string_view name,
               core::duration time_limit)
{
    return {.incarnation =
                fmt::format("{}.{}", dependencies.self.incarnation, name),
            .time_limit = time_limit};
}

core::status to_status(core::result<peers::answer_envelope> const& outcome)
{
    if (!core::is_ok(outcome))
        return core::failure(outcome);
    auto const& answer = core::value(outcome);
    if (answer.code == 0)
        return core::success();
    return core::error{static_cast<result_code>(answer.code), answer.message};
}

} // namespace

job_engine::job_engine(engine_dependencies const& dependencies)
    : dependencies_(dependencies),
      lease_rows_(dependencies.table,
                  writer_options(dependencies, "lease", lease_write_limit)),
      job_rows_(dependencies.table,
                writer_options(dependencies, "jobs", job_write_limit)),
      service_rows_(dependencies.table, writer_options(dependencies, "service",
                                                       service_write_limit)),
      lease_(lease_rows_, dependencies.clock, dependencies.self),
      process_(job_rows_, lease_,
               {dependencies.objects, dependencies.links,
                dependencies.directory, dependencies.rules,
                dependencies.placement, dependencies.clock,
                dependencies.counters, placements_, upkeep_}),
      service_(service_rows_, dependencies.objects, dependencies.rules,
               dependencies.directory, *this, dependencies.clock)
{
}

job_engine::~job_engine()
{
    stop();
}

void job_engine::start(core::timer_service& timers)
{
    // Both block on the table, so the timer's threads only pass them on.
    lease_timer_ = timers.subscribe(decider_lease::renewal_period, [this] {
        post_once(lease_runner_, is_renewal_posted_, &job_engine::renew_lease);
    });
    notice_timer_ = timers.subscribe(decider_lease::renewal_period, [this] {
        post_once(notices_, is_notice_posted_, &job_engine::tell_again);
    });
    round_timer_ = timers.subscribe(round_check_period, [this] {
        post_once(round_runner_, is_round_posted_, &job_engine::run_round);
    });
}

void job_engine::stop()
{
    if (std::exchange(is_stopped_, true))
        return;
    round_timer_.reset();
    round_runner_.stop();
    notice_timer_.reset();
    placements_.stop();
    upkeep_.stop();
    notices_.stop();
    lease_timer_.reset();
    lease_runner_.stop();
    lease_.release();
}

void job_engine::post_once(thread_runner& runner, std::atomic<bool>& is_posted,
                           void (job_engine::*function)())
{
    if (is_posted.exchange(true))
        return;
    runner.post([this, &is_posted, function] {
        is_posted = false;
        (this->*function)();
    });
}

void job_engine::renew_lease()
{
    lease_.tick();
}

void job_engine::run_round()
{
    process_.tick();
}

bool job_engine::is_decider() const
{
    return lease_.state() == lease_state::holding;
}

bool job_engine::has_lease() const
{
    return lease_.state() != lease_state::follower;
}

peers::answer_envelope job_engine::answer(result_code code, std::string message,
                                          core::json body) const
{
    return {static_cast<std::uint16_t>(code), std::move(message),
            dependencies_.self.incarnation, std::move(body)};
}

peers::answer_envelope job_engine::handle(peers::envelope const& message)
{
    return has_lease() ? handle_here(message) : pass_on(message);
}

peers::answer_envelope job_engine::handle_here(peers::envelope const& message)
{
    if (message.kind == peers::message_kind::task_report) {
        auto const report =
            core::message_from<peers::member_report>(message.body);
        if (!core::is_ok(report))
            return answer(core::failure(report).code,
                          core::failure(report).message);
        return answer(process_.handle_report(core::value(report)));
    }
    if (message.kind == peers::message_kind::job_changed) {
        auto const change =
            core::message_from<peers::job_changed>(message.body);
        if (!core::is_ok(change))
            return answer(core::failure(change).code,
                          core::failure(change).message);
        return answer(
            core::code_of(process_.handle_change(core::value(change).job_id)));
    }
    if (message.kind == peers::message_kind::job_note) {
        auto const query =
            core::message_from<peers::job_note_query>(message.body);
        if (!core::is_ok(query))
            return answer(core::failure(query).code,
                          core::failure(query).message);
        return answer(
            result_code::ok, {},
            peers::job_note_answer{process_.note(core::value(query).job_id)});
    }
    return answer(result_code::bad_request,
                  "unknown message kind " + message.kind);
}

peers::answer_envelope job_engine::pass_on(peers::envelope const& message)
{
    if (!message.body.is_object() || message.body.contains(passed_on_key))
        return answer(result_code::not_ready, "this entry is not the decider");
    auto body = message.body;
    body[passed_on_key] = true;
    auto const passed = call_decider(message.kind, body, pass_on_limit);
    if (!core::is_ok(passed))
        return answer(result_code::not_ready, core::failure(passed).message);
    return core::value(passed);
}

core::result<peers::answer_envelope>
job_engine::call_decider(std::string_view kind, core::json const& body,
                         core::duration time_limit)
{
    auto const address = lease_.decider_address();
    if (address.empty() || address == dependencies_.self.peer_address)
        return core::error{result_code::not_ready, "there is no decider now"};
    return dependencies_.links.link_to(address)->call(kind, body, time_limit);
}

void job_engine::notify_change(std::string_view job_id)
{
    // The caller has its answer once the row is written; the decider is told
    // by another thread.
    notices_.post([this, id = std::string(job_id)] { tell_decider(id); });
}

void job_engine::tell_decider(std::string_view job_id)
{
    auto const told =
        has_lease()
            ? process_.handle_change(job_id)
            : to_status(call_decider(peers::message_kind::job_changed,
                                     peers::job_changed{std::string(job_id)},
                                     pass_on_limit));
    if (core::is_ok(told))
        return;
    // The next periodic scan may be 30 s away, which is longer than the owner
    // of a guarantee may wait.
    is_scan_owed_ = true;
    core::log(
        core::log_level::debug, "the decider was not told of a change",
        {{"job", std::string(job_id)}, {"error", core::failure(told).message}});
}

void job_engine::tell_again()
{
    // An empty id asks for a scan, which finds all changes.
    if (is_scan_owed_.exchange(false))
        tell_decider("");
}

std::string job_engine::waiting_note(std::string_view job_id)
{
    if (has_lease())
        return process_.note(job_id);
    auto const told =
        call_decider(peers::message_kind::job_note,
                     peers::job_note_query{std::string(job_id)}, note_limit);
    if (!core::is_ok(told))
        return {};
    auto const note =
        core::message_from<peers::job_note_answer>(core::value(told).body);
    return core::is_ok(note) ? core::value(note).text : std::string{};
}

core::json job_engine::dump() const
{
    auto dump = process_.dump();
    dump["is_decider"] = is_decider();
    dump["term"] = term();
    dump["decider_address"] = lease_.decider_address();
    return dump;
}

} // namespace sequoiaroute::decider
