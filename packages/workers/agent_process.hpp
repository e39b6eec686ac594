#pragma once

#include "core/clock.hpp"
#include "core/counters.hpp"
#include "core/result.hpp"
#include "core/timer_service.hpp"
#include "http/civetweb_client.hpp"
#include "peers/nng_link_pool.hpp"
#include "peers/nng_server.hpp"
#include "platform/http_executor_client.hpp"
#include "platform/http_object_store.hpp"
#include "platform/http_table.hpp"
#include "platform/http_task_runtime.hpp"
#include "workers/agent.hpp"
#include "workers/agent_settings.hpp"

#include <memory>
#include <string>

namespace sequoiaroute::workers {

/// The process of one agent. Owns the agent and its server socket, clients and
/// timers.
class agent_process
{
public:
    /// Recovers earlier tasks, binds the address of the agent and starts the
    /// periodic work.
    /// @param settings the settings of the agent
    /// @return the process, or unreachable if its address cannot be bound
    static core::result<std::unique_ptr<agent_process>>
    create(agent_settings const& settings);

    /// Drains the agent and stops the server. Blocks until the requests in
    /// flight are answered and the tasks have stopped, and then until all
    /// results are stored and all reports delivered, but for at most
    /// timing.drain_store_limit.
    void drain();

private:
    explicit agent_process(agent_settings const& settings);
    peers::answer_envelope handle(peers::envelope const& request);

    agent_settings settings_;
    std::string incarnation_;
    core::system_clock clock_;
    core::counters counters_;
    http::civetweb_client client_;
    platform::http_table table_;
    platform::http_object_store store_;
    platform::http_executor_client executor_;
    platform::http_task_runtime runtime_;
    core::timer_service timers_;
    peers::nng_link_pool links_;
    agent agent_;
    std::unique_ptr<peers::nng_server> server_;
};

} // namespace sequoiaroute::workers
