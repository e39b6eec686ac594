#include "decider/job_engine.hpp"

#include "core/log.hpp"

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using core::result_code;

/// How often the loop checks whether a round is due.
constexpr core::duration round_check_period = std::chrono::milliseconds(50);
constexpr core::duration decider_call_time_limit = std::chrono::seconds(2);
/// Short, because the note only explains why a job waits; a status request must
/// not be delayed by it.
constexpr core::duration note_query_time_limit = std::chrono::milliseconds(300);

/// Marks a forwarded message, which is not forwarded again. Otherwise two
/// entries that regard each other as the decider would forward it in a loop.
constexpr char forwarded_key[] = "is_passed_on";

constexpr core::duration lease_write_time_limit =
    std::chrono::milliseconds(800);
constexpr core::duration job_write_time_limit = std::chrono::seconds(2);
constexpr core::duration service_write_time_limit = std::chrono::seconds(4);

/// The writers of a process need distinct names in their write tokens, because
/// each of them numbers its writes from one.
/// @param name distinguishes the writer within this process
/// @param time_limit for one write and the recovery of its outcome
platform::recovering_writer_options
writer_options(engine_dependencies const& dependencies, std::string_view name,
               core::duration time_limit)
{
    return {.incarnation =
                fmt::format("{}.{}", dependencies.self.incarnation, name),
            .time_limit = time_limit};
}

/// @return the error of the call or of the answer, ok if there is neither
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
      lease_rows_(dependencies.table, writer_options(dependencies, "lease",
                                                     lease_write_time_limit)),
      job_rows_(dependencies.table,
                writer_options(dependencies, "jobs", job_write_time_limit)),
      service_rows_(
          dependencies.table,
          writer_options(dependencies, "service", service_write_time_limit)),
      lease_(lease_rows_, dependencies.clock, dependencies.self),
      loop_(job_rows_, lease_,
            {dependencies.objects, dependencies.links, dependencies.directory,
             dependencies.rules, dependencies.placement, dependencies.clock,
             dependencies.counters, placement_pool_, maintenance_pool_}),
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
    // These functions block on the table or the decider, so the timer callbacks
    // only post them to other threads.
    lease_timer_ = timers.subscribe(decider_lease::check_period, [this] {
        post_once(lease_thread_, is_renewal_posted_, &job_engine::renew_lease);
    });
    notification_timer_ =
        timers.subscribe(decider_lease::renewal_period, [this] {
            post_once(notification_thread_, is_notification_posted_,
                      &job_engine::resend_notification);
        });
    round_timer_ = timers.subscribe(round_check_period, [this] {
        post_once(round_thread_, is_round_posted_, &job_engine::run_round);
    });
}

void job_engine::stop()
{
    if (std::exchange(is_stopped_, true))
        return;
    round_timer_.reset();
    round_thread_.stop();
    notification_timer_.reset();
    placement_pool_.stop();
    maintenance_pool_.stop();
    notification_thread_.stop();
    lease_timer_.reset();
    lease_thread_.stop();
    lease_.release();
}

void job_engine::post_once(thread_pool& pool, std::atomic<bool>& is_posted,
                           void (job_engine::*function)())
{
    if (is_posted.exchange(true))
        return;
    pool.post([this, &is_posted, function] {
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
    loop_.tick();
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
    return has_lease() ? handle_as_decider(message)
                       : forward_to_decider(message);
}

peers::answer_envelope
job_engine::handle_as_decider(peers::envelope const& message)
{
    if (message.kind == peers::message_kind::task_report) {
        auto const report =
            core::message_from<peers::member_report>(message.body);
        if (!core::is_ok(report))
            return answer(core::failure(report).code,
                          core::failure(report).message);
        return answer(loop_.handle_report(core::value(report)));
    }
    if (message.kind == peers::message_kind::job_changed) {
        auto const change =
            core::message_from<peers::job_changed>(message.body);
        if (!core::is_ok(change))
            return answer(core::failure(change).code,
                          core::failure(change).message);
        return answer(
            core::code_of(loop_.handle_change(core::value(change).job_id)));
    }
    if (message.kind == peers::message_kind::job_note) {
        auto const query =
            core::message_from<peers::job_note_query>(message.body);
        if (!core::is_ok(query))
            return answer(core::failure(query).code,
                          core::failure(query).message);
        return answer(
            result_code::ok, {},
            peers::job_note_answer{loop_.note(core::value(query).job_id)});
    }
    return answer(result_code::bad_request,
                  "unknown message kind " + message.kind);
}

peers::answer_envelope
job_engine::forward_to_decider(peers::envelope const& message)
{
    if (!message.body.is_object() || message.body.contains(forwarded_key))
        return answer(result_code::not_ready, "this entry is not the decider");
    auto body = message.body;
    body[forwarded_key] = true;
    auto const forwarded =
        call_decider(message.kind, body, decider_call_time_limit);
    if (!core::is_ok(forwarded))
        return answer(result_code::not_ready, core::failure(forwarded).message);
    return core::value(forwarded);
}

core::result<peers::answer_envelope>
job_engine::call_decider(std::string_view kind, core::json const& body,
                         core::duration time_limit)
{
    auto const address = lease_.decider_address();
    if (address.empty() || address == dependencies_.self.peer_address)
        return core::error{result_code::not_ready, "no decider is known"};
    return dependencies_.links.link_to(address)->call(kind, body, time_limit);
}

void job_engine::notify_change(std::string_view job_id)
{
    // On another thread, so that the caller's answer does not wait for the
    // decider.
    notification_thread_.post(
        [this, id = std::string(job_id)] { notify_decider(id); });
}

void job_engine::notify_decider(std::string_view job_id)
{
    auto const outcome =
        has_lease()
            ? loop_.handle_change(job_id)
            : to_status(call_decider(peers::message_kind::job_changed,
                                     peers::job_changed{std::string(job_id)},
                                     decider_call_time_limit));
    if (core::is_ok(outcome))
        return;
    // Retried, because the next periodic scan may be 30 s away, which is longer
    // than the owner of a guarantee may wait.
    has_unsent_change_ = true;
    core::log(core::log_level::debug,
              "cannot notify the decider of a job change",
              {{"job", std::string(job_id)},
               {"error", core::failure(outcome).message}});
}

void job_engine::resend_notification()
{
    // An empty id requests a scan, which finds all changes.
    if (has_unsent_change_.exchange(false))
        notify_decider("");
}

std::string job_engine::query_waiting_note(std::string_view job_id)
{
    if (has_lease())
        return loop_.note(job_id);
    auto const outcome = call_decider(
        peers::message_kind::job_note,
        peers::job_note_query{std::string(job_id)}, note_query_time_limit);
    if (!core::is_ok(outcome))
        return {};
    auto const note =
        core::message_from<peers::job_note_answer>(core::value(outcome).body);
    return core::is_ok(note) ? core::value(note).text : std::string{};
}

core::json job_engine::dump() const
{
    auto dump = loop_.dump();
    dump["is_decider"] = is_decider();
    dump["term"] = term();
    dump["decider_address"] = lease_.decider_address();
    return dump;
}

} // namespace sequoiaroute::decider
