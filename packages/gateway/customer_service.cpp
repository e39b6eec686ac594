#include "gateway/customer_service.hpp"

#include "core/event_log.hpp"
#include "core/identifier.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::gateway {

namespace {

/// With rules or jobs older than this no call is served: a key may have been
/// taken away meanwhile, and a finished job would be shown as running.
constexpr core::duration oldest_copy{5000};
/// A process whose copy is older than this asks to be passed over.
constexpr core::duration oldest_ready_copy{3000};
/// Less time than this is not enough for a write.
constexpr core::duration least_write_time{100};
/// Writes are repeated until this much of the caller's time is left.
constexpr core::duration answer_reserve{150};
constexpr core::duration default_time_limit{2000};
constexpr core::duration retry_delay{100};
/// When to come back after a refusal by the store: its outages last seconds.
constexpr core::duration store_retry_after{1000};

customer_reply make_reply(call_outcome outcome)
{
    customer_reply reply;
    reply.outcome = outcome;
    return reply;
}

customer_reply make_refusal(call_outcome outcome)
{
    auto reply = make_reply(outcome);
    reply.retry_after = store_retry_after;
    return reply;
}

void log_call(std::string_view event, std::string const& job,
              std::string_view detail)
{
    core::log_event(event, {{"job", job}, {"detail", std::string(detail)}});
}

core::duration time_for_writes(customer_call const& call)
{
    auto const limit = call.time_limit > core::duration(0) ? call.time_limit
                                                           : default_time_limit;
    return limit - answer_reserve;
}

bool is_valid(jobs::job_spec const& spec)
{
    if (spec.steps.empty())
        return false;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        auto const& step = spec.steps[index];
        if (step.task_count < 1 || step.task.millicores < 0 ||
            step.task.memory_mb < 0 || step.task.accelerators < 0)
            return false;
        // A step that waits for itself or a later one never begins.
        if (std::any_of(step.after.begin(), step.after.end(),
                        [&](std::int32_t before) {
                            return before < 0 ||
                                   static_cast<std::size_t>(before) >= index;
                        }))
            return false;
    }
    return true;
}

} // namespace

/// A write whose answer a customer waits for.
struct customer_service::pending_write
{
    rows::transaction changes;
    core::time_point give_up_at;
    customer_responder respond;
    call_outcome success = call_outcome::accepted;
    std::string job_id;
    bool is_urgent = false;
    /// A sending had no answer, so it may take effect later.
    bool may_be_done = false;
    std::unique_ptr<event::timer> retry_timer;
};

customer_service::customer_service(rows::monitored_store& store,
                                   event::timer_service& timers,
                                   rules_source const& rules,
                                   rows::table_replica const& work,
                                   job_directory const& directory,
                                   call_relay& relay, write_observer& observer)
    : store_(store), timers_(timers), rules_(rules), work_(work),
      directory_(directory), relay_(relay), observer_(observer)
{
    store_.on_return([this] { resume_waiting(); });
}

bool customer_service::is_ready() const
{
    return store_.is_reachable() && rules_.current() != nullptr &&
           rules_.age() < oldest_ready_copy && work_.is_loaded() &&
           work_.age() < oldest_ready_copy;
}

bool customer_service::is_current() const
{
    return rules_.current() != nullptr && rules_.age() < oldest_copy &&
           work_.is_loaded() && work_.age() < oldest_copy;
}

void customer_service::handle(customer_call call, customer_responder respond)
{
    if (store_.is_reachable() && is_current())
        return handle_locally(std::move(call), std::move(respond));
    // The store may serve other entries, and their rules are newer.
    relay_.relay(call, [this, call, respond = std::move(respond)](
                           std::optional<customer_reply> const& reply) {
        if (reply)
            respond(*reply);
        else
            handle_locally(call, respond);
    });
}

void customer_service::handle_locally(customer_call call,
                                      customer_responder respond)
{
    if (!is_current()) {
        log_call("call_refused", call.path.substr(call.path.rfind('/') + 1),
                 "the copies of rules and jobs are too old");
        return respond(make_refusal(call_outcome::unavailable));
    }
    auto const rules = rules_.current();
    auto const* const queue = rules->find_queue(call.host, call.path);
    if (queue == nullptr)
        return respond(make_reply(call_outcome::no_queue));
    if (!queue->is_public && !rules->customer_by_key.contains(call.key)) {
        log_call("call_unauthorized",
                 call.path.substr(call.path.rfind('/') + 1),
                 queue->terms.queue);
        return respond(make_reply(call_outcome::unauthorized));
    }
    auto const job_id = call.path.substr(queue->path_prefix.size());
    if (job_id.empty() && call.kind == call_kind::read) {
        auto reply = make_reply(call_outcome::queue_length);
        reply.pending = directory_.pending(queue->terms.queue);
        return respond(reply);
    }
    if (!core::is_identifier(job_id))
        return respond(make_reply(call_outcome::bad_request));
    switch (call.kind) {
    case call_kind::submit:
        return submit(std::move(call), *queue, job_id, std::move(respond));
    case call_kind::cancel:
        return cancel(job_id, call, std::move(respond));
    case call_kind::read:
        return read_state(job_id, std::move(respond));
    }
}

void customer_service::submit(customer_call call, jobs::queue_rule const& queue,
                              std::string job_id, customer_responder respond)
{
    if (call.body_bytes > rules_.current()->max_body_bytes) {
        log_call("job_rejected", job_id, "the job is larger than allowed");
        return respond(make_reply(call_outcome::too_large));
    }
    if (!call.spec || !is_valid(*call.spec)) {
        log_call("job_rejected", job_id, "the job cannot be read");
        return respond(make_reply(call_outcome::bad_request));
    }
    if (directory_.find(job_id)) {
        log_call("job_accepted", job_id, "is stored already");
        return respond(make_reply(call_outcome::accepted));
    }
    auto const rules = rules_.current();
    jobs::submission submission;
    submission.job_id = job_id;
    submission.terms = queue.terms;
    submission.spec = std::move(*call.spec);
    if (auto const customer = rules->customer_by_key.find(call.key);
        customer != rules->customer_by_key.end())
        submission.customer = customer->second;
    auto write = std::make_shared<pending_write>();
    auto const key = rows::layout::job_row(job_id);
    write->changes.conditions.push_back({key, rows::no_row});
    write->changes.writes.push_back({key, jobs::encode(submission)});
    write->success = call_outcome::accepted;
    write->is_urgent = queue.terms.is_urgent();
    write->job_id = std::move(job_id);
    write->respond = std::move(respond);
    write->give_up_at = timers_.now() + time_for_writes(call);
    send(write);
}

void customer_service::cancel(std::string const& job_id,
                              customer_call const& call,
                              customer_responder respond)
{
    auto const known = directory_.find(job_id);
    if (known && known->is_cancelled)
        return respond(make_reply(call_outcome::cancelled));
    if (known && jobs::is_final(known->state))
        return respond(make_reply(call_outcome::no_job));
    auto write = std::make_shared<pending_write>();
    write->changes.writes.push_back({rows::layout::cancel_row(job_id), "{}"});
    write->success = call_outcome::cancelled;
    write->job_id = job_id;
    write->give_up_at = timers_.now() + time_for_writes(call);
    if (known) {
        write->respond = std::move(respond);
        return send(write);
    }
    // This entry's copy may lack a job that another entry has just accepted.
    write->respond = respond;
    ask_store(job_id, [this, write, respond](customer_reply const& reply) {
        if (reply.outcome == call_outcome::job_state)
            send(write);
        else
            respond(reply);
    });
}

void customer_service::read_state(std::string const& job_id,
                                  customer_responder respond)
{
    auto const known = directory_.find(job_id);
    if (!known)
        return ask_store(job_id, std::move(respond));
    auto reply = make_reply(call_outcome::job_state);
    reply.state = known->state;
    respond(reply);
}

void customer_service::ask_store(std::string const& job_id,
                                 customer_responder respond)
{
    store_.read(rows::layout::only(rows::layout::job_row(job_id)),
                [respond = std::move(respond)](rows::page const& page) {
                    if (!page.is_ok)
                        return respond(make_refusal(call_outcome::unavailable));
                    respond(make_reply(page.rows.empty()
                                           ? call_outcome::no_job
                                           : call_outcome::job_state));
                });
}

void customer_service::send(std::shared_ptr<pending_write> const& write)
{
    if (!store_.is_reachable())
        return wait_for_store(write);
    auto const left = write->give_up_at - timers_.now();
    auto const timeout =
        std::clamp(left, least_write_time, answer_time_.timeout());
    auto const sent_at = timers_.now();
    auto const& changes = write->changes;
    store_.commit(changes, timeout,
                  [this, write, sent_at](rows::commit_result const& result) {
                      answer_time_.record(result.outcome,
                                          timers_.now() - sent_at);
                      receive(write, result);
                  });
}

/// A write that was not sent is refused at once: the store's outages last
/// longer than what its customer has left. One whose outcome is open waits for
/// the store, since it cannot be answered truly yet.
void customer_service::wait_for_store(
    std::shared_ptr<pending_write> const& write)
{
    auto const left = write->give_up_at - timers_.now();
    if (!write->may_be_done || left <= core::duration(0))
        return give_up(write);
    waiting_.push_back(write);
    std::weak_ptr<pending_write> const weak = write;
    write->retry_timer = timers_.after(left, [this, weak] {
        if (auto const expired = weak.lock()) {
            waiting_.remove(expired);
            give_up(expired);
        }
    });
}

void customer_service::resume_waiting()
{
    for (auto const& write : std::exchange(waiting_, {})) {
        write->retry_timer.reset();
        send(write);
    }
}

void customer_service::give_up(std::shared_ptr<pending_write> const& write)
{
    if (write->may_be_done) {
        log_call("write_unknown", write->job_id, "the store gave no answer");
        write->respond(make_refusal(call_outcome::unknown));
    } else {
        log_call("job_refused", write->job_id,
                 "the store does not take the write");
        write->respond(make_refusal(call_outcome::not_accepted));
    }
}

void customer_service::receive(std::shared_ptr<pending_write> const& write,
                               rows::commit_result const& result)
{
    using rows::commit_outcome;
    if (result.outcome == commit_outcome::committed) {
        auto const& written = write->changes.writes.front();
        observer_.on_written(
            {written.key, written.value, result.version, false},
            write->is_urgent);
    }
    if (result.outcome == commit_outcome::committed ||
        result.outcome == commit_outcome::conflict) {
        // A conflict says that the job is stored already: by an earlier
        // sending, or by another entry that the customer asked before.
        log_call(write->success == call_outcome::accepted ? "job_accepted"
                                                          : "job_cancelled",
                 write->job_id,
                 result.outcome == commit_outcome::committed
                     ? "stored"
                     : "is stored already");
        return write->respond(make_reply(write->success));
    }
    if (result.outcome == commit_outcome::unknown)
        write->may_be_done = true;
    if (!store_.is_reachable())
        return wait_for_store(write);
    if (timers_.now() + retry_delay >= write->give_up_at)
        return give_up(write);
    pausing_.push_back(write);
    std::weak_ptr<pending_write> const weak = write;
    write->retry_timer = timers_.after(retry_delay, [this, weak] {
        if (auto const rested = weak.lock()) {
            pausing_.remove(rested);
            send(rested);
        }
    });
}

} // namespace sequoiaroute::gateway
