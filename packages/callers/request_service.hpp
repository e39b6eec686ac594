#pragma once

#include "callers/answer_cache.hpp"
#include "callers/request_lookup.hpp"
#include "core/clock.hpp"
#include "core/sharded_map.hpp"
#include "policy/admission.hpp"
#include "policy/retry_budget.hpp"
#include "policy/rules_provider.hpp"
#include "targets/request_dispatcher.hpp"

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiaroute::callers {

/// An urgent request, as a customer submits it.
struct request_submission
{
    std::string request_id;
    std::string customer;
    std::string service;
    std::string body;
    bool is_unrepeatable = false;      ///< not idempotent: runs at most once
    core::duration time_limit{30'000}; ///< from the call of submit()
};

/// Processes urgent requests at an entry: deduplicates them by id, admits them,
/// claims unrepeatable ones, dispatches them and returns the answers.
/// Thread-safe; calls block until the outcome is known.
class request_service
{
public:
    /// The dependencies of the service, which must outlive it.
    struct dependencies
    {
        policy::rules_provider& rules;
        policy::retry_budget& budget;
        targets::target_directory& directory;
        targets::request_dispatcher& dispatcher;
        targets::request_claims& claims;
        request_lookup& lookup;
        core::clock const& clock;
        targets::sleep_function sleep;
    };

    explicit request_service(dependencies dependencies);

    /// Runs a request. If a request of the same customer and id is in flight at
    /// this entry, waits for its outcome instead.
    /// @param submission the request
    /// @return the outcome, and the delay after which a refused request may be
    ///         retried; request_id_reused if the id belongs to a request with a
    ///         different body
    targets::dispatch_outcome submit(request_submission const& submission);

    /// Looks up the outcome of a request: in flight, cached, or as in
    /// request_lookup::find().
    core::result<targets::request_answer> find(std::string_view customer,
                                               std::string_view request_id);

    /// Refuses new requests from now on; those in flight are completed.
    void begin_drain() { is_draining_ = true; }

private:
    /// A request that a thread of this entry is processing. Other submissions
    /// of the same id wait for its outcome.
    struct in_flight_request
    {
        std::string body_digest;
        std::promise<targets::dispatch_outcome> promise;
        std::shared_future<targets::dispatch_outcome> outcome =
            promise.get_future().share();
    };

    /// @return the cached answer; request_id_reused if it belongs to another
    ///         request body; nullopt if there is none
    std::optional<targets::dispatch_outcome>
    find_cached(std::string const& key, std::string const& body_digest) const;
    /// Waits for a request that another thread processes.
    /// @return its outcome; still_running at the deadline of `request`;
    ///         request_id_reused if the bodies differ
    targets::dispatch_outcome
    wait_for_in_flight(in_flight_request const& in_flight,
                       targets::urgent_request const& request);
    /// As admit_and_run(), but an exception becomes outcome_unknown.
    targets::dispatch_outcome
    run_and_catch(targets::urgent_request const& request);
    targets::dispatch_outcome
    admit_and_run(targets::urgent_request const& request);
    targets::dispatch_outcome
    run_unrepeatable(targets::urgent_request const& request);
    /// Finds the outcome of an earlier submission of an unrepeatable request.
    /// Waits for it if the claim says that the request was started or has
    /// ended.
    /// @return the outcome; nullopt if the request is still to be run
    std::optional<targets::dispatch_outcome>
    find_earlier_outcome(targets::urgent_request const& request);
    /// Repeats the lookup until the outcome is final.
    /// @return the outcome, or outcome_unknown at the deadline of the request
    core::result<targets::request_answer>
    wait_for_earlier_outcome(targets::urgent_request const& request);

    dependencies dependencies_;
    policy::admission admission_;
    answer_cache answer_cache_;
    core::sharded_map<std::shared_ptr<in_flight_request>> in_flight_;
    std::atomic<bool> is_draining_{false};
};

} // namespace sequoiaroute::callers
