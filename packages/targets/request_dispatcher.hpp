#pragma once

#include "core/clock.hpp"
#include "core/sharded_map.hpp"
#include "peers/link.hpp"
#include "policy/admission.hpp"
#include "policy/retry_budget.hpp"
#include "policy/target_selection.hpp"
#include "targets/attempt_authorizer.hpp"
#include "targets/attempt_runner.hpp"
#include "targets/slot_tracker.hpp"
#include "targets/target_directory.hpp"
#include "targets/urgent_request.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiaroute::targets {

/// The final result of a request.
struct dispatch_outcome
{
    core::result<request_answer> answer;
    core::duration retry_after{}; ///< advised delay before a retry; 0 for none
};

/// Sends requests to executors through their agents. Retries them at other
/// targets within the deadline, the retry budget and the rules for unrepeatable
/// requests (docs/design.md, section 3.4). Thread-safe.
class request_dispatcher
{
public:
    /// The dependencies, which must outlive the dispatcher.
    struct dependencies
    {
        peers::link_pool& links;
        target_directory& directory;
        core::clock const& clock;
        policy::retry_budget& budget;
        sleep_function sleep;
    };

    /// @param dependencies the objects that the dispatcher uses
    /// @param data_centre the data centre of this entry, whose targets are
    ///        preferred
    request_dispatcher(dependencies dependencies, std::string data_centre);

    /// Sends a request and blocks until it is answered or has failed.
    /// @param request the request
    /// @param authorizer authorizes each attempt of an unrepeatable request;
    ///        null for a repeatable request
    /// @return the complete answer, or an error, whose code is a "not run" code
    ///         only if no attempt can have run
    dispatch_outcome send(urgent_request const& request,
                          attempt_authorizer* authorizer);

private:
    /// A target with a slot reserved for the request.
    struct reserved_slot
    {
        peers::target_report target;
        slot_tracker::reservation reservation;
    };
    struct dispatch_state;

    /// Adds a request to the waiting ones of its service, unless there are too
    /// many already.
    /// @param refusal set if the request is refused
    /// @return false if the request is refused
    bool enter_queue(std::string_view service, dispatch_outcome& refusal);
    void rejoin_queue(std::string_view service);
    void leave_queue(std::string_view service);
    /// Attempts a request, which must be in the queue, until it is answered or
    /// has failed.
    core::result<request_answer> run(urgent_request const& request,
                                     attempt_authorizer* authorizer);
    /// @return a reserved slot; nothing if no usable target is left or the
    ///         deadline has passed
    std::optional<reserved_slot> wait_for_slot(urgent_request const& request,
                                               dispatch_state& state);
    /// Reserves a slot at the target that the selection chooses.
    /// @param trusts_reports see executor_views()
    /// @return the slot; nothing if no target has a free one
    std::optional<reserved_slot> reserve_slot(urgent_request const& request,
                                              dispatch_state const& state,
                                              bool trusts_reports);
    /// @return whether there is a target that accepts requests of the service
    ///         and where no attempt may have run
    bool has_usable_target(urgent_request const& request,
                           dispatch_state const& state);
    /// @param trusts_reports if false, slots that are in use by other entries
    ///        according to the reports count as free
    /// @return the targets as input for the selection, in the same order
    std::vector<policy::executor_view>
    executor_views(std::vector<known_target> const& targets,
                   bool trusts_reports);
    /// Makes one attempt at the target of the slot.
    /// @return the final result; nothing if the request is to be retried
    std::optional<core::result<request_answer>>
    attempt(urgent_request const& request, attempt_authorizer* authorizer,
            reserved_slot const& slot, dispatch_state& state);
    /// Records the outcome of an attempt and decides on a retry.
    /// @return the final result; nothing if the request is to be retried
    std::optional<core::result<request_answer>>
    handle_outcome(urgent_request const& request, std::string const& target_id,
                   attempt_outcome outcome, dispatch_state& state);
    /// Sleeps for a jittered exponential backoff, but not past the deadline.
    void back_off(urgent_request const& request, dispatch_state& state);

    dependencies dependencies_;
    policy::target_selection selection_;
    attempt_runner runner_;
    slot_tracker slot_tracker_;
    core::sharded_map<int> waiting_; ///< requests without a slot, by service
};

} // namespace sequoiaroute::targets
