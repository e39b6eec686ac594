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
#include "workers/entry_client.hpp"
#include "workers/gang_beat_sender.hpp"
#include "workers/gang_monitor.hpp"
#include "workers/request_runner.hpp"
#include "workers/result_writer.hpp"
#include "workers/table_start_permits.hpp"
#include "workers/task_supervisor.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::workers {

/// The clock and the services outside the process that an agent uses. All of
/// them must outlive the agent.
struct agent_dependencies
{
    core::clock const& clock;
    platform::table& table;
    platform::object_store& store;
    platform::executor_client& executor; ///< used if the target is an executor
    platform::task_runtime& runtime;     ///< used if the target is a worker
    peers::link_pool& links;             ///< links to entries and other agents
};

/// The agent of one target, which is an executor or a worker. Handles the
/// messages of entries and other agents and runs the periodic work. It owns no
/// sockets; see agent_process.
class agent
{
public:
    /// @param settings the settings of this agent
    /// @param incarnation a unique id of this process, new at each start
    /// @param dependencies the clock and the services that the agent uses
    agent(agent_settings settings, std::string incarnation,
          agent_dependencies const& dependencies);

    /// Recovers the tasks that an earlier process of this agent left in the
    /// runtime of its worker. Must be called before handle().
    void recover();

    /// Handles a message from another process.
    /// @param request the message
    /// @return the answer; bad_request if the message is malformed or not meant
    ///         for this kind of target
    peers::answer_envelope handle(peers::envelope const& request);

    /// Starts the periodic work.
    /// @param timers runs the work; needs at least 8 threads because calls may
    ///        block, and must outlive this object
    void start(core::timer_service& timers);

    /// Refuses new work from now on, asks the tasks for a checkpoint, stops
    /// them after the drain grace period, and reports to an entry immediately
    /// that the target is leaving.
    void begin_drain();

    /// @return true if no request is in flight, no resources are reserved and
    ///         no task is left
    bool is_idle() const;

    /// @return true if the agent is idle, all results are stored and all
    ///         reports of members are acknowledged
    bool is_drained() const;

    /// Stops all tasks if no entry has answered for the contact limit, or if
    /// the entries have had no contact with the table or the decider for the
    /// authority limit (docs/design.md, section 3.12).
    void check_contact();

    /// Sends the reports of ended members that are not acknowledged yet.
    void send_member_reports();

    /// @return the state of all parts of the agent, for diagnosis
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
    result_writer result_writer_;
    request_runner runner_;
    task_supervisor supervisor_;
    gang_monitor gang_monitor_;
    gang_beat_sender gang_beat_sender_;
    entry_client entry_client_;
    std::vector<std::unique_ptr<core::timer_service::subscription>>
        subscriptions_;
};

} // namespace sequoiaroute::workers
