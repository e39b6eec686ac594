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

/// The end of a request as the dispatcher knows it.
struct dispatch_outcome
{
    core::result<request_answer> answer;
    core::duration retry_after{}; ///< 0 if there is nothing to wait for
};

/// Sends requests to executors through their agents and retries them as far
/// as section 3.4 of the design allows it.
class request_dispatcher
{
public:
    /// Everything that the dispatcher uses; all of it must outlive it.
    struct environment
    {
        peers::link_pool& links;
        target_directory& directory;
        core::clock const& clock;
        policy::retry_budget& budget;
        sleep_function pause;
    };

    /// @param environment what the dispatcher uses
    /// @param data_centre the entry's own, whose targets are preferred
    request_dispatcher(environment environment, std::string data_centre);

    /// Sends a request and waits for its end.
    /// @param request the request
    /// @param authorizer passed before each dispatch of an unrepeatable
    /// request;
    ///        null for a repeatable one
    /// @return the complete answer, or an error that says "not run" only if
    ///         no attempt can have run
    dispatch_outcome send(urgent_request const& request,
                          attempt_authorizer* authorizer);

private:
    /// A slot at a target, ready to receive the request.
    struct place
    {
        peers::target_report target;
        slot_tracker::reservation reservation;
    };
    struct progress;

    bool enter_queue(std::string_view service, dispatch_outcome& refusal);
    void rejoin_queue(std::string_view service);
    void leave_queue(std::string_view service);
    core::result<request_answer> run(urgent_request const& request,
                                     attempt_authorizer* authorizer);
    std::optional<place> wait_for_place(urgent_request const& request,
                                        progress& progress);
    std::optional<place> take_place(urgent_request const& request,
                                    progress const& progress,
                                    bool trusts_reports);
    bool has_usable_target(urgent_request const& request,
                           progress const& progress);
    std::vector<policy::executor_view>
    views(std::vector<known_target> const& targets, bool trusts_reports);
    std::optional<core::result<request_answer>>
    attempt(urgent_request const& request, attempt_authorizer* authorizer,
            place const& place, progress& progress);
    std::optional<core::result<request_answer>>
    note_outcome(urgent_request const& request, std::string const& target_id,
                 attempt_outcome outcome, progress& progress);
    void back_off(urgent_request const& request, progress& progress);

    environment environment_;
    policy::target_selection selection_;
    attempt_runner runner_;
    slot_tracker ledger_;
    core::sharded_map<int> waiting_; ///< requests without a slot, by service
};

} // namespace sequoiaroute::targets
