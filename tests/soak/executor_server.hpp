#pragma once

#include "event/event_loop.hpp"
#include "event/evhttp_client.hpp"
#include "event/http_server.hpp"
#include "soak/executor_model.hpp"
#include "soak/random_source.hpp"

#include <list>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

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
    void crash(core::duration downtime);

    /// The probability that an order is executed late and without a response.
    double late_order_probability = 0;

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
    /// Advances the model and answers long polls.
    void tick();
    void send_heartbeat();
    void begin_incarnation();
    void serve(event::http_request const& request,
               event::http_responder const& respond);
    void serve_order(event::http_request const& request,
                     event::http_responder const& respond);
    /// Executes an order to start or stop a run.
    void execute_order(std::string const& path, std::string const& body,
                       event::http_responder const& respond);
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
    std::unique_ptr<event::http_server> server_;
    bool is_draining_ = false;
    core::time_point drain_end_{};
    std::int64_t sequence_ = 0;
    std::size_t last_end_count_ = 0; ///< ends listed at the last tick
    std::list<pending_hold> pending_holds_;
    std::list<std::unique_ptr<event::timer>> late_order_timers_;
    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> heartbeat_timer_;
    std::unique_ptr<event::timer> restart_timer_;
};

} // namespace sequoiaroute::soak
