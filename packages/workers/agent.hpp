#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/timer_service.hpp"
#include "peers/link.hpp"
#include "platform/executor_client.hpp"
#include "platform/object_store.hpp"
#include "platform/recovering_writer.hpp"
#include "platform/table.hpp"
#include "platform/task_runtime.hpp"
#include "workers/agent_settings.hpp"
#include "workers/attempt_registry.hpp"
#include "workers/entry_contact.hpp"
#include "workers/gang_beats.hpp"
#include "workers/gang_lead.hpp"
#include "workers/request_runner.hpp"
#include "workers/result_writer.hpp"
#include "workers/table_start_permits.hpp"
#include "workers/task_supervisor.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::workers {

/// What an agent reaches outside its process.
struct agent_surroundings
{
    core::clock const& clock;
    platform::table& table;
    platform::object_store& store;
    platform::executor_client& executor;
    platform::task_runtime& runtime;
    peers::link_pool& links;
};

/// One agent: handles the messages of entries and other agents and performs
/// the periodic work. It owns no socket.
class agent
{
public:
    /// @param settings of this agent
    /// @param incarnation changes with every start of the process
    /// @param surroundings what it reaches outside its process
    agent(agent_settings settings, std::string incarnation,
          agent_surroundings const& surroundings);

    /// Takes over what the runtime lists from an earlier process of this agent.
    /// To be called before requests are handled.
    void recover();

    /// Handles a request of another process.
    peers::answer_envelope handle(peers::envelope const& request);

    /// Starts the periodic work.
    /// @param timers runs it, on at least 8 threads because calls may block;
    ///        must outlive this object
    void start(core::timer_service& timers);

    /// Refuses new work, asks tasks to stop within the grace period and tells
    /// an entry at once.
    void leave();

    /// @return true if no request is in flight and no task is left
    bool is_quiet() const;

    /// @return true if everything was stored and reported as well
    bool is_drained() const;

    /// Stops the tasks after too long a time without contact (design 3.12).
    void check_contact();

    /// Sends the reports of ended members.
    void send_member_reports();

    core::json dump();

private:
    peers::target_report make_report() const;
    core::result<core::json> answer(peers::envelope const& request);
    core::result<core::json> answer_executor(peers::envelope const& request);
    core::result<core::json> answer_worker(peers::envelope const& request);
    void start_worker(core::timer_service& timers);

    agent_settings settings_;
    std::string incarnation_;
    core::clock const& clock_;
    std::atomic<bool> is_leaving_ = false;
    attempt_registry registry_;
    platform::recovering_writer row_writer_;
    table_start_permits permits_;
    result_writer results_;
    request_runner runner_;
    task_supervisor supervisor_;
    gang_lead lead_;
    gang_beats beats_;
    entry_contact contact_;
    std::vector<std::unique_ptr<core::timer_service::subscription>>
        subscriptions_;
};

} // namespace sequoiaroute::workers
