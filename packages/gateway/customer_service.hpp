#pragma once

#include "event/timer_service.hpp"
#include "gateway/customer_call.hpp"
#include "gateway/job_directory.hpp"
#include "gateway/peer_relay.hpp"
#include "gateway/rules_source.hpp"
#include "gateway/write_observer.hpp"
#include "rows/latency_estimator.hpp"
#include "rows/monitored_store.hpp"
#include "rows/table_replica.hpp"

#include <list>
#include <memory>
#include <string>

namespace sequoiaroute::gateway {

/// Serves customers' calls: stores jobs and cancellations, and answers queries
/// about jobs and queues from this entry's replica of the work table.
class customer_service
{
public:
    /// @param store where jobs are stored
    /// @param timers clock and timers
    /// @param rules the rules in force
    /// @param work the replica of the work table
    /// @param directory the index of the jobs in that replica
    /// @param relay used while this entry cannot serve calls itself
    /// @param observer notified of stored jobs and cancellations
    customer_service(rows::monitored_store& store, event::timer_service& timers,
                     rules_source const& rules, rows::table_replica const& work,
                     job_directory const& directory, call_relay& relay,
                     write_observer& observer);

    /// Serves a call, or relays it to another entry if the store is unreachable
    /// or this entry's replicas are outdated.
    /// @param call the call
    /// @param respond runs once with the reply
    void handle(customer_call call, customer_responder respond);

    /// Serves a call that another entry has relayed. It is not relayed again,
    /// which could go on in a loop. Not served if this entry has older rules
    /// than the other one, cannot reach the store, or the other one no longer
    /// waits.
    void handle_relayed(customer_call call, customer_responder respond);

    /// @return whether this entry can serve calls itself; reported to the load
    ///         balancer
    bool is_ready() const;

private:
    struct pending_write;

    bool are_replicas_current() const;
    /// Serves a call without relaying it.
    void handle_locally(customer_call call, customer_responder respond);
    void submit(customer_call call, jobs::queue_rule const& queue,
                std::string job_id, customer_responder respond);
    void cancel(std::string const& job_id, customer_call const& call,
                customer_responder respond);
    void read_state(std::string const& job_id, customer_responder respond);
    void read_job_from_store(std::string const& job_id,
                             customer_responder respond);
    void send_write(std::shared_ptr<pending_write> const& write);
    void wait_for_store(std::shared_ptr<pending_write> const& write);
    void fail_write(std::shared_ptr<pending_write> const& write);
    void resume_waiting_writes();
    void receive_commit_result(std::shared_ptr<pending_write> const& write,
                               rows::commit_result const& result);

    rows::monitored_store& store_;
    event::timer_service& timers_;
    rules_source const& rules_;
    rows::table_replica const& work_;
    job_directory const& directory_;
    call_relay& relay_;
    write_observer& observer_;
    rows::latency_estimator store_latency_;
    /// Writes that are retried when the store becomes reachable again.
    std::list<std::shared_ptr<pending_write>> waiting_for_store_;
    /// Writes that are retried after a delay.
    std::list<std::shared_ptr<pending_write>> waiting_for_retry_;
};

} // namespace sequoiaroute::gateway
