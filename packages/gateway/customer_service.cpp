#include "gateway/customer_service.hpp"

#include "core/event_log.hpp"
#include "core/identifier.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::gateway {

namespace {

/// No call is served if the rules or the work table are older than this: a key
/// may have been revoked meanwhile, and a finished job would be reported as
/// running.
constexpr core::duration max_replica_age{5000};
/// If a replica is older than this, the entry reports that it is not ready, so
/// that the load balancer sends calls to other entries.
constexpr core::duration max_ready_replica_age{3000};
/// A commit needs at least this long.
constexpr core::duration min_commit_timeout{100};
/// Part of a call's time limit that is kept for sending the reply; writes are
/// not retried during it.
constexpr core::duration response_time_reserve{150};
constexpr core::duration default_time_limit{2000};
constexpr core::duration retry_delay{100};
/// When customers should retry a call that failed because of the store, whose
/// outages last seconds.
constexpr core::duration store_retry_after{1000};

customer_reply make_reply(call_outcome outcome)
{
    customer_reply reply;
    reply.outcome = outcome;
    return reply;
}

/// @return a reply to a call that the customer should retry later
customer_reply make_retryable_reply(call_outcome outcome)
{
    auto reply = make_reply(outcome);
    reply.retry_after = store_retry_after;
    return reply;
}

/// Logs a call that was turned away before it was known which job it is for.
void log_refused_call(std::string_view event, customer_call const& call,
                      std::string_view detail)
{
    core::log_event(event, {{"job", call.path.substr(call.path.rfind('/') + 1)},
                            {"detail", std::string(detail)}});
}

/// Logs an event about a job.
void log_job_event(std::string_view event, std::string const& job,
                   std::string_view detail)
{
    core::log_decision(event, {{"job", job}, {"detail", std::string(detail)}});
}

/// @return how long a call's write may be retried
core::duration write_time_budget(customer_call const& call)
{
    auto const limit = call.time_limit > core::duration(0) ? call.time_limit
                                                           : default_time_limit;
    return limit - response_time_reserve;
}

} // namespace

/// A write that must be stored before its customer gets a reply.
struct customer_service::pending_write
{
    rows::transaction changes;
    core::time_point deadline;
    customer_responder respond;
    call_outcome success_outcome = call_outcome::accepted;
    std::string job_id;
    bool is_urgent = false;
    /// An earlier attempt got no answer, so it may have been applied, or may be
    /// applied later.
    bool may_have_been_applied = false;
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
    store_.on_recovery([this] { resume_waiting_writes(); });
}

bool customer_service::is_ready() const
{
    return store_.is_reachable() && rules_.current() != nullptr &&
           rules_.age() < max_ready_replica_age && work_.is_loaded() &&
           work_.age() < max_ready_replica_age;
}

bool customer_service::are_replicas_current() const
{
    return rules_.current() != nullptr && rules_.age() < max_replica_age &&
           work_.is_loaded() && work_.age() < max_replica_age;
}

void customer_service::handle(customer_call call, customer_responder respond)
{
    if (store_.is_reachable() && are_replicas_current())
        return handle_locally(std::move(call), std::move(respond));
    // The store may still serve other entries.
    auto const rules = rules_.current();
    call.rules_version = rules == nullptr ? 0 : rules->version;
    if (work_.is_loaded())
        call.expires_at = work_.store_time() + max_tried_peers * relay_timeout;
    relay_.relay(call, [this, call, respond = std::move(respond)](
                           std::optional<customer_reply> const& reply) {
        if (reply)
            respond(*reply);
        else
            handle_locally(call, respond);
    });
}

void customer_service::handle_relayed(customer_call call,
                                      customer_responder respond)
{
    auto const rules = rules_.current();
    std::string_view refusal;
    if (!store_.is_reachable() || rules == nullptr)
        refusal = "this entry cannot serve it";
    else if (rules->version < call.rules_version)
        refusal = "the rules are older than those of the relaying entry";
    else if (call.expires_at > core::duration(0) &&
             work_.store_time() > call.expires_at)
        refusal = "the relaying entry no longer waits";
    if (refusal.empty())
        return handle_locally(std::move(call), std::move(respond));
    log_refused_call("relayed_call_refused", call, refusal);
    respond(make_reply(call_outcome::unavailable));
}

void customer_service::handle_locally(customer_call call,
                                      customer_responder respond)
{
    if (!are_replicas_current()) {
        log_refused_call("call_refused", call,
                         "the replicas of the rules and the jobs are outdated");
        return respond(make_retryable_reply(call_outcome::unavailable));
    }
    auto const rules = rules_.current();
    auto const* const queue = rules->find_queue(call.host, call.path);
    if (queue == nullptr)
        return respond(make_reply(call_outcome::no_queue));
    if (!queue->is_public && !rules->customer_by_key.contains(call.key)) {
        log_refused_call("call_unauthorized", call, queue->parameters.queue);
        return respond(make_reply(call_outcome::unauthorized));
    }
    auto const job_id = call.path.substr(queue->path_prefix.size());
    if (job_id.empty() && call.kind == call_kind::read) {
        auto reply = make_reply(call_outcome::queue_length);
        reply.pending = directory_.pending_job_count(queue->parameters.queue);
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
        log_job_event("job_rejected", job_id, "the job exceeds the size limit");
        return respond(make_reply(call_outcome::too_large));
    }
    if (!call.spec) {
        log_job_event("job_rejected", job_id, "the job cannot be read");
        return respond(make_reply(call_outcome::bad_request));
    }
    if (auto const checked = jobs::check_job(*call.spec);
        !core::is_ok(checked)) {
        log_job_event("job_rejected", job_id, core::failure(checked).message);
        return respond(make_reply(call_outcome::bad_request));
    }
    if (directory_.find(job_id)) {
        log_job_event("job_accepted", job_id, "already stored");
        return respond(make_reply(call_outcome::accepted));
    }
    auto const rules = rules_.current();
    jobs::submission submission;
    submission.job_id = job_id;
    submission.parameters = queue.parameters;
    submission.spec = std::move(*call.spec);
    submission.accepted_at = work_.store_time();
    if (auto const customer = rules->customer_by_key.find(call.key);
        customer != rules->customer_by_key.end())
        submission.customer = customer->second;
    auto encoded = jobs::encode(submission);
    if (encoded.size() > rows::max_value_bytes) {
        log_job_event("job_rejected", job_id, "the job exceeds a row's size");
        return respond(make_reply(call_outcome::too_large));
    }
    auto write = std::make_shared<pending_write>();
    auto const key = rows::layout::job_row(job_id);
    write->changes.conditions.push_back({key, rows::no_row});
    write->changes.writes.push_back({key, std::move(encoded)});
    write->success_outcome = call_outcome::accepted;
    write->is_urgent = queue.parameters.is_urgent();
    write->job_id = std::move(job_id);
    write->respond = std::move(respond);
    write->deadline = timers_.now() + write_time_budget(call);
    send_write(write);
}

void customer_service::cancel(std::string const& job_id,
                              customer_call const& call,
                              customer_responder respond)
{
    auto const job = directory_.find(job_id);
    if (job && job->is_cancelled)
        return respond(make_reply(call_outcome::cancelled));
    if (job && jobs::is_final(job->state))
        return respond(make_reply(call_outcome::no_job));
    auto write = std::make_shared<pending_write>();
    write->changes.writes.push_back({rows::layout::cancel_row(job_id), "{}"});
    write->success_outcome = call_outcome::cancelled;
    write->job_id = job_id;
    write->deadline = timers_.now() + write_time_budget(call);
    if (job) {
        write->respond = std::move(respond);
        return send_write(write);
    }
    // The replica may lack a job that another entry has just accepted.
    write->respond = respond;
    read_job_from_store(job_id,
                        [this, write, respond](customer_reply const& reply) {
                            if (reply.outcome == call_outcome::job_state)
                                send_write(write);
                            else
                                respond(reply);
                        });
}

void customer_service::read_state(std::string const& job_id,
                                  customer_responder respond)
{
    auto const job = directory_.find(job_id);
    if (!job)
        return read_job_from_store(job_id, std::move(respond));
    auto reply = make_reply(call_outcome::job_state);
    reply.state = job->state;
    respond(reply);
}

void customer_service::read_job_from_store(std::string const& job_id,
                                           customer_responder respond)
{
    store_.read(
        rows::layout::single_row_range(rows::layout::job_row(job_id)),
        [this, respond = std::move(respond)](rows::page const& page) {
            // A stale read does not show that the job is unknown.
            if (!page.is_ok || page.version < work_.version())
                return respond(make_retryable_reply(call_outcome::unavailable));
            respond(make_reply(page.rows.empty() ? call_outcome::no_job
                                                 : call_outcome::job_state));
        });
}

void customer_service::send_write(std::shared_ptr<pending_write> const& write)
{
    if (!store_.is_reachable())
        return wait_for_store(write);
    auto const remaining = write->deadline - timers_.now();
    auto const timeout =
        std::clamp(remaining, min_commit_timeout, store_latency_.timeout());
    auto const sent_at = timers_.now();
    auto const& changes = write->changes;
    store_.commit(changes, timeout,
                  [this, write, sent_at](rows::commit_result const& result) {
                      store_latency_.record(result.outcome,
                                            timers_.now() - sent_at);
                      receive_commit_result(write, result);
                  });
}

/// Parks a write until the store is reachable again or its deadline passes. A
/// write that cannot have been applied fails at once, since the store's outages
/// last longer than the customer waits. One that may have been applied is
/// parked, because neither success nor failure can be reported truthfully yet.
void customer_service::wait_for_store(
    std::shared_ptr<pending_write> const& write)
{
    auto const remaining = write->deadline - timers_.now();
    if (!write->may_have_been_applied || remaining <= core::duration(0))
        return fail_write(write);
    waiting_for_store_.push_back(write);
    std::weak_ptr<pending_write> const weak = write;
    write->retry_timer = timers_.after(remaining, [this, weak] {
        if (auto const expired = weak.lock()) {
            waiting_for_store_.remove(expired);
            fail_write(expired);
        }
    });
}

void customer_service::resume_waiting_writes()
{
    for (auto const& write : std::exchange(waiting_for_store_, {})) {
        write->retry_timer.reset();
        send_write(write);
    }
}

void customer_service::fail_write(std::shared_ptr<pending_write> const& write)
{
    if (write->may_have_been_applied) {
        log_job_event("write_unknown", write->job_id,
                      "the store gave no answer");
        write->respond(make_retryable_reply(call_outcome::unknown));
    } else {
        log_job_event("job_refused", write->job_id,
                      "the store rejected the write or is unreachable");
        write->respond(make_retryable_reply(call_outcome::not_accepted));
    }
}

void customer_service::receive_commit_result(
    std::shared_ptr<pending_write> const& write,
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
        // A conflict means that the job has already been stored, by an earlier
        // attempt or by another entry to which the customer sent it before.
        log_job_event(
            write->success_outcome == call_outcome::accepted ? "job_accepted"
                                                             : "job_cancelled",
            write->job_id,
            result.outcome == commit_outcome::committed ? "stored"
                                                        : "already stored");
        return write->respond(make_reply(write->success_outcome));
    }
    if (result.outcome == commit_outcome::unknown)
        write->may_have_been_applied = true;
    if (!store_.is_reachable())
        return wait_for_store(write);
    if (timers_.now() + retry_delay >= write->deadline)
        return fail_write(write);
    waiting_for_retry_.push_back(write);
    std::weak_ptr<pending_write> const weak = write;
    write->retry_timer = timers_.after(retry_delay, [this, weak] {
        if (auto const due = weak.lock()) {
            waiting_for_retry_.remove(due);
            send_write(due);
        }
    });
}

} // namespace sequoiaroute::gateway
