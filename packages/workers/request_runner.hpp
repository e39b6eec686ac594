#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"
#include "platform/executor_client.hpp"
#include "workers/attempt_registry.hpp"
#include "workers/result_writer.hpp"
#include "workers/start_permits.hpp"

#include <atomic>

namespace sequoiaroute::workers {

/// Runs dispatched requests on the executor of this agent, at most one per slot
/// at a time. Thread-safe.
class request_runner
{
public:
    /// @param slots the number of requests that may run concurrently
    /// @param clock the time source
    /// @param registry records the attempts
    /// @param executor runs the requests
    /// @param permits grants permission to start unrepeatable requests
    /// @param results stores the results
    request_runner(int slots, core::clock const& clock,
                   attempt_registry& registry,
                   platform::executor_client& executor, start_permits& permits,
                   result_writer& results)
        : slots_(slots), clock_(clock), registry_(registry),
          executor_(executor), permits_(permits), result_writer_(results)
    {
    }

    /// Runs one attempt and waits for its answer.
    /// @param request the dispatch
    /// @return the answer; if the attempt was already dispatched or fenced, its
    ///         current state and answer
    peers::attempt_answer dispatch(peers::dispatch const& request);

    /// Makes dispatch() refuse all further attempts with refused_not_run.
    void set_leaving() { is_leaving_ = true; }

    /// @return the number of requests in flight
    int slots_used() const { return slots_used_; }

private:
    /// Runs a new attempt if a slot is free, this agent is not leaving and the
    /// result can be queued; else refuses it.
    peers::attempt_answer admit(peers::dispatch const& request);
    /// Acquires the start permit if one is needed, executes the request and
    /// records and stores the answer.
    peers::attempt_answer run_in_slot(peers::dispatch const& request);
    /// Calls the executor, unless the deadline has passed.
    peers::attempt_answer execute(peers::dispatch const& request,
                                  core::time_point deadline);
    void store_result(peers::dispatch const& request,
                      peers::attempt_answer const& answer);
    /// @return false if all slots are in use
    bool acquire_slot();

    int slots_;
    core::clock const& clock_;
    attempt_registry& registry_;
    platform::executor_client& executor_;
    start_permits& permits_;
    result_writer& result_writer_;
    std::atomic<bool> is_leaving_ = false;
    std::atomic<int> slots_used_ = 0;
};

} // namespace sequoiaroute::workers
