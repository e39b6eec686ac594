#include "workers/agent_process.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"
#include "workers/process_usage.hpp"

#include <thread>

namespace sequoiaroute::workers {

namespace {

/// Periodic calls may block on a peer, so each of them gets its own thread.
constexpr std::size_t timer_thread_count = 8;
constexpr core::duration drain_poll_period{20};

peers::link_options with_counters(peers::link_options options,
                                  core::counters& counters)
{
    options.counters = &counters;
    return options;
}

} // namespace

agent_process::agent_process(agent_settings const& settings)
    : settings_(settings), incarnation_(core::make_identifier()),
      table_(client_, {settings.table_address, settings.platform_time_limit}),
      store_(client_,
             {settings.object_store_address, settings.platform_time_limit}),
      executor_(client_, settings.executor_address),
      runtime_(client_,
               {settings.runtime_address, settings.platform_time_limit}),
      timers_(timer_thread_count),
      links_(timers_, {settings.agent_id, incarnation_, settings.shared_key},
             with_counters(settings.links, counters_)),
      agent_(settings, incarnation_,
             {clock_, table_, store_, executor_, runtime_, links_})
{
}

core::result<std::unique_ptr<agent_process>>
agent_process::create(agent_settings const& settings)
{
    std::unique_ptr<agent_process> process(new agent_process(settings));
    process->agent_.recover();
    auto options = settings.server;
    options.incarnation = process->incarnation_;
    options.counters = &process->counters_;
    SEQUOIA_TRY_INTO(
        process->server_,
        peers::nng_server::create(
            options, [agent = process.get()](peers::envelope const& request) {
                return agent->handle(request);
            }));
    process->agent_.start(process->timers_);
    core::log(core::log_level::info, "agent started",
              {{"agent", settings.agent_id},
               {"address", settings.peer_address},
               {"incarnation", process->incarnation_}});
    return process;
}

peers::answer_envelope agent_process::handle(peers::envelope const& request)
{
    auto answer = agent_.handle(request);
    if (request.kind == peers::message_kind::dump) {
        answer.body["process"] = process_usage();
        answer.body["replaced_connections"] = links_.replaced_connections();
        answer.body["counters"] = counters_.values();
    }
    return answer;
}

void agent_process::drain()
{
    core::log(core::log_level::info, "agent is draining",
              {{"agent", settings_.agent_id}});
    agent_.begin_drain();
    while (!agent_.is_idle())
        std::this_thread::sleep_for(drain_poll_period);
    auto const deadline = clock_.now() + settings_.drain_store_limit;
    while (!agent_.is_drained() && clock_.now() < deadline)
        std::this_thread::sleep_for(drain_poll_period);
    if (!agent_.is_drained()) {
        core::log(core::log_level::error,
                  "agent stops with undelivered results or reports",
                  {{"agent", settings_.agent_id}});
    }
    server_->stop();
    core::log(core::log_level::info, "agent stopped",
              {{"agent", settings_.agent_id}});
}

} // namespace sequoiaroute::workers
