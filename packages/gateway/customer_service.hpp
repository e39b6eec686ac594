#pragma once

#include "event/timer_service.hpp"
#include "gateway/customer_call.hpp"
#include "gateway/job_directory.hpp"
#include "gateway/rules_source.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"

#include <memory>
#include <string>

namespace sequoiaroute::gateway {

/// Answers the calls of customers: stores jobs and cancellations, and tells the
/// state of jobs from this entry's copy of the work table.
class customer_service
{
public:
    /// @param store where jobs are stored
    /// @param timers time
    /// @param rules the rules in force
    /// @param work the copy of the work table
    /// @param directory what that copy says of jobs
    customer_service(rows::row_store& store, event::timer_service& timers,
                     rules_source const& rules, rows::table_replica const& work,
                     job_directory const& directory);

    /// Answers a call.
    /// @param call the call
    /// @param respond receives the answer once
    void handle(customer_call call, customer_responder respond);

    /// @return whether calls can be served here
    bool is_ready() const;

private:
    struct pending_write;

    void submit(customer_call call, jobs::queue_rule const& queue,
                std::string job_id, customer_responder respond);
    void cancel(std::string const& job_id, customer_call const& call,
                customer_responder respond);
    void read_state(std::string const& job_id, customer_responder respond);
    void ask_store(std::string const& job_id, customer_responder respond);
    void send(std::shared_ptr<pending_write> const& write);
    void receive(std::shared_ptr<pending_write> const& write,
                 rows::commit_result const& result);

    rows::row_store& store_;
    event::timer_service& timers_;
    rules_source const& rules_;
    rows::table_replica const& work_;
    job_directory const& directory_;
};

} // namespace sequoiaroute::gateway
