#pragma once

#include "event/timer_service.hpp"
#include "gateway/customer_call.hpp"
#include "gateway/job_directory.hpp"
#include "gateway/peer_relay.hpp"
#include "gateway/rules_source.hpp"
#include "gateway/write_observer.hpp"
#include "rows/answer_time.hpp"
#include "rows/monitored_store.hpp"
#include "rows/table_replica.hpp"

#include <list>
#include <memory>
#include <string>

namespace sequoiaroute::gateway {

/// Answers the calls of customers: stores jobs and cancellations, and tells the
/// state of jobs from this entry's copy of the work table.
class customer_service
{
public:
    /// @param store where jobs are stored; watched for outages
    /// @param timers time
    /// @param rules the rules in force
    /// @param work the copy of the work table
    /// @param directory what that copy says of jobs
    /// @param relay passes calls to other entries
    /// @param observer learns of what was written
    customer_service(rows::monitored_store& store, event::timer_service& timers,
                     rules_source const& rules, rows::table_replica const& work,
                     job_directory const& directory, call_relay& relay,
                     write_observer& observer);

    /// Answers a call.
    /// @param call the call
    /// @param respond receives the answer once
    void handle(customer_call call, customer_responder respond);

    /// Answers a call that another entry has passed on; it is not passed on
    /// again.
    void handle_locally(customer_call call, customer_responder respond);

    /// @return whether calls can be served here
    bool is_ready() const;

private:
    struct pending_write;

    bool is_current() const;
    void submit(customer_call call, jobs::queue_rule const& queue,
                std::string job_id, customer_responder respond);
    void cancel(std::string const& job_id, customer_call const& call,
                customer_responder respond);
    void read_state(std::string const& job_id, customer_responder respond);
    void ask_store(std::string const& job_id, customer_responder respond);
    void send(std::shared_ptr<pending_write> const& write);
    void wait_for_store(std::shared_ptr<pending_write> const& write);
    void give_up(std::shared_ptr<pending_write> const& write);
    void resume_waiting();
    void receive(std::shared_ptr<pending_write> const& write,
                 rows::commit_result const& result);

    rows::monitored_store& store_;
    event::timer_service& timers_;
    rules_source const& rules_;
    rows::table_replica const& work_;
    job_directory const& directory_;
    call_relay& relay_;
    write_observer& observer_;
    rows::answer_time answer_time_;
    /// Writes that wait for the store to answer again.
    std::list<std::shared_ptr<pending_write>> waiting_;
    /// Writes that are sent again after a pause.
    std::list<std::shared_ptr<pending_write>> pausing_;
};

} // namespace sequoiaroute::gateway
