#include "programs/store_agent.hpp"

#include "agents/agent_service.hpp"
#include "core/event_log.hpp"
#include "core/settings.hpp"
#include "event/event_loop.hpp"
#include "event/evhttp_client.hpp"
#include "executor_client.hpp"
#include "heartbeat_server.hpp"
#include "notices/http_notices.hpp"
#include "programs/connection_settings.hpp"
#include "programs/metrics_server.hpp"
#include "store_client.hpp"

#include <csignal>

namespace sequoiaroute::programs {

namespace {

/// The default of limits.connections. An agent serves one executor, the decider
/// and a few entries.
constexpr std::size_t default_connections = 256;

std::vector<core::setting_description> const& setting_descriptions()
{
    using core::setting_type;
    static auto const list = [] {
        std::vector<core::setting_description> descriptions{
            {"process", "node", setting_type::text, {}, true},
            {"process", "address", setting_type::text, {}, true},
            {"listen", "heartbeats", setting_type::address, {}, true},
            {"listen", "notices", setting_type::address, {}, true},
            {"listen", "metrics", setting_type::address, {}, true},
            {"executor", "address", setting_type::address, {}, true},
            {"store", "address", setting_type::address, {}, true},
            {"bounds", "lease", setting_type::time, "6s", false},
            {"bounds", "stop", setting_type::time, "1s", false},
        };
        add_connection_settings(descriptions, default_connections);
        return descriptions;
    }();
    return list;
}

/// Runs the agent until a stop signal arrives.
core::status serve(core::settings const& settings)
{
    SEQUOIA_TRY_INTO(auto const loop, event::event_loop::create());
    event::evhttp_client client(*loop);
    adapter::store_client store(client, settings.text("store.address"));
    adapter::executor_client executor(client,
                                      settings.text("executor.address"));
    agents::agent_service::options options;
    // The agent is identified by its address: a machine that replaces another
    // may reuse its name, but never its address.
    options.agent = settings.text("process.address");
    options.timing = {settings.time("bounds.lease"),
                      settings.time("bounds.stop")};
    notices::http_notice_sender notices(client);
    agents::agent_service agent(store, *loop, executor, notices, options);
    event::connection_pool connections(make_connection_limits(settings));
    SEQUOIA_TRY_INTO(
        auto const server,
        adapter::heartbeat_server::create(
            *loop, connections, settings.text("listen.heartbeats"),
            {[&](adapter::heartbeat message) {
                 agent.receive_heartbeat(std::move(message.worker),
                                         message.sequence);
             },
             [&](std::string const& id, std::optional<std::int64_t> born_ms) {
                 agent.receive_deregistration(id, born_ms);
             }}));
    notices::notice_handlers const handlers{[&](notices::row_notice notice) {
                                                agent.receive_notice(
                                                    std::move(notice));
                                            },
                                            {},
                                            {}};
    SEQUOIA_TRY_INTO(
        auto const notice_server,
        event::http_server::create(
            *loop, connections, settings.text("listen.notices"), {},
            [&](event::http_request const& request,
                event::http_responder const& respond) {
                if (!notices::serve_notice(handlers, request, respond))
                    respond({404, {}, "{}", "application/json"});
            }));
    SEQUOIA_TRY_INTO(auto const metrics_server,
                     create_metrics_server(*loop, connections,
                                           settings.text("listen.metrics")));
    auto const end = [&] {
        core::log_event("stop_requested", {});
        loop->stop();
    };
    auto const terminate = loop->on_signal(SIGTERM, end);
    auto const interrupt = loop->on_signal(SIGINT, end);
    auto const reload = loop->on_signal(SIGHUP, [] {
        core::log_event("settings_changed",
                        {{"effect", "from the next start on"}});
    });
    agent.start();
    core::log_event("process_started",
                    {{"store", settings.text("store.address")},
                     {"executor", settings.text("executor.address")}});
    loop->run();
    core::log_event("process_stopped", {});
    return core::success();
}

} // namespace

core::status run_store_agent(std::string const& settings_path, bool only_check)
{
    std::signal(SIGPIPE, SIG_IGN);
    SEQUOIA_TRY_INTO(
        auto const settings,
        core::settings::create(settings_path, setting_descriptions()));
    core::set_event_source(settings.text("process.node"));
    if (only_check)
        return core::success();
    return serve(settings);
}

} // namespace sequoiaroute::programs
