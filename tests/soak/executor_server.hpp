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

/// An executor of the users' platform: serves the calls of its agent and sends
/// heartbeats to it.
class executor_server
{
public:
    struct addresses
    {
        std::string own;        ///< IP:PORT for the agent's calls
        std::string heartbeats; ///< IP:PORT of the agent
    };

    static core::result<std::unique_ptr<executor_server>>
    create(event::event_loop& loop, addresses where, executor_model& model,
           random_source& random, std::string rack);

    /// Announces that it leaves, and ends after a while.
    void leave(core::duration remaining);

    /// Ends without a word, and comes back later.
    void crash(core::duration away);

    /// Share of the orders that are carried out late and without an answer.
    double late_orders = 0;

private:
    struct waiting_hold
    {
        event::http_responder respond;
        core::time_point until;
    };

    executor_server(event::event_loop& loop, addresses where,
                    executor_model& model, random_source& random,
                    std::string rack);
    core::status listen();
    void tick();
    void send_heartbeat();
    void begin_life();
    void serve(event::http_request const& request,
               event::http_responder const& respond);
    void serve_order(event::http_request const& request,
                     event::http_responder const& respond);
    void carry_out(std::string const& path, std::string const& body,
                   event::http_responder const& respond);
    void hold(std::string const& body, event::http_responder const& respond);
    void answer_lists(event::http_responder const& respond);

    event::event_loop& loop_;
    addresses where_;
    executor_model& model_;
    random_source& random_;
    std::string rack_;
    event::evhttp_client client_;
    std::unique_ptr<event::http_server> server_;
    bool is_draining_ = false;
    core::time_point leaves_at_{};
    std::int64_t sequence_ = 0;
    std::size_t seen_ends_ = 0;
    std::list<waiting_hold> holds_;
    std::list<std::unique_ptr<event::timer>> late_;
    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> heartbeat_timer_;
    std::unique_ptr<event::timer> life_timer_;
};

} // namespace sequoiaroute::soak
