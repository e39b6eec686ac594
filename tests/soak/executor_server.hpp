#pragma once

#include "core/codec.hpp"
#include "event/event_loop.hpp"
#include "event/evhttp_client.hpp"
#include "event/http_server.hpp"
#include "soak/executor_model.hpp"
#include "soak/random_source.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

/// Faults of an executor towards its agent, and of the path between them.
struct executor_faults
{
    enum class path
    {
        normal,
        silent,         ///< nothing arrives in either direction
        requests_lost,  ///< only the executor's messages arrive
        responses_lost, ///< calls are executed, but no response arrives
        refused,        ///< connections are refused; no message arrives
    };

    enum class deregistration
    {
        acknowledged,
        /// It arrives, but the acknowledgement does not.
        unacknowledged,
        late, ///< it arrives seconds later
        lost,
    };

    path to_agent = path::normal;
    /// Without an acknowledgement the executor ends seconds later.
    deregistration leaving = deregistration::acknowledged;
    int order_refusal = 0; ///< status with which orders are refused; 0: none
    /// The probability that an order is executed late and without a response.
    double late_order_probability = 0;
    /// The probability that a heartbeat arrives late, and so out of order.
    double late_heartbeat_probability = 0;
};

/// Serves the HTTP interface of a simulated executor for its agent, and sends
/// heartbeats to the agent.
class executor_server
{
public:
    struct addresses
    {
        std::string own;        ///< IP:PORT on which the agent calls it
        std::string heartbeats; ///< IP:PORT on which the agent receives them
    };

    /// Starts the executor.
    /// @param loop serves the sockets and timers
    /// @param endpoints the addresses to use
    /// @param model simulates the runs
    /// @param random decides which orders are executed late
    /// @param rack the rack, reported as a label
    /// @return the server, or an error if it cannot listen
    static core::result<std::unique_ptr<executor_server>>
    create(event::event_loop& loop, addresses endpoints, executor_model& model,
           random_source& random, std::string rack);

    /// Announces that it will end, ends when the remaining time has passed, and
    /// restarts a little later.
    void drain(core::duration remaining);

    /// Ends abruptly, and restarts after the downtime.
    /// @param next how the executor is identified then
    void crash(
        core::duration downtime,
        executor_model::succession next = executor_model::succession::same_id);

    /// Ends and starts again at once, as behind a cut: no connection shows it.
    /// @param next how the executor is identified then
    void restart_unnoticed(executor_model::succession next);

    /// Sends a heartbeat of an executor that does not exist, of a service that
    /// is not configured, as another program might.
    void send_foreign_heartbeat();

    /// Closes all connections; new ones are accepted soon after.
    void reset_connections() { close_listener(); }

    executor_faults faults; ///< the faults to inject from now on
    /// Called when a run starts with its order, not late; receives the data
    /// centre as well, which has the name of the rack.
    std::function<void(jobs::run_id const&, std::string const&)>
        on_timely_start;

private:
    /// A long poll of the agent for ends of runs.
    struct pending_hold
    {
        event::http_responder respond;
        core::time_point until;
    };

    executor_server(event::event_loop& loop, addresses endpoints,
                    executor_model& model, random_source& random,
                    std::string rack);
    core::status listen();
    /// Listens if the executor is up and the path to it allows connections.
    void update_listener();
    void close_listener();
    /// Advances the model and answers long polls.
    void tick();
    void send_heartbeat();
    /// @return what a heartbeat of this executor says
    core::json describe();
    /// Deregisters, and ends once that is acknowledged, or a little later.
    void leave();
    /// Sends a message to the agent, unless the path loses it.
    void send(std::string const& path, std::string const& body);
    void send_later(std::string const& path, std::string const& body);
    bool loses_messages() const;
    bool loses_responses() const;
    void begin_incarnation(executor_model::succession next);
    void serve(event::http_request const& request,
               event::http_responder const& respond);
    void serve_order(event::http_request const& request,
                     event::http_responder const& respond);
    /// Executes an order to start or stop a run.
    /// @param is_late whether it is executed long after it was received
    void execute_order(std::string const& path, std::string const& body,
                       bool is_late, event::http_responder const& respond);
    /// Extends the lease and acknowledges ends. Responds with the lists of
    /// runs, after a wait if the agent asks for it and no end is listed.
    void hold(std::string const& body, event::http_responder const& respond);
    void send_run_lists(event::http_responder const& respond);

    event::event_loop& loop_;
    addresses endpoints_;
    executor_model& model_;
    random_source& random_;
    std::string rack_;
    event::evhttp_client client_;
    event::connection_pool connections_{{}};
    std::unique_ptr<event::http_server> server_;
    bool is_draining_ = false;
    bool has_deregistered_ = false;
    core::time_point drain_end_{};
    std::int64_t sequence_ = 0;
    std::size_t last_end_count_ = 0; ///< ends listed at the last tick
    std::list<pending_hold> pending_holds_;
    std::list<std::unique_ptr<event::timer>> late_order_timers_;
    std::list<std::unique_ptr<event::timer>> late_message_timers_;
    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> heartbeat_timer_;
    std::unique_ptr<event::timer> restart_timer_;
};

} // namespace sequoiaroute::soak
