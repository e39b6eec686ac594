#pragma once

#include "callers/request_lookup.hpp"
#include "callers/result_memory.hpp"
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

/// A request as a caller submits it.
struct submission
{
    std::string request_id;
    std::string customer;
    std::string service;
    std::string body;
    bool is_unrepeatable = false;
    core::duration time_limit{30'000};
};

/// The path of urgent requests through an entry: admission, claims, dispatch
/// and results.
class request_service
{
public:
    /// Everything that the service uses; all of it must outlive it.
    struct environment
    {
        policy::rules_provider& rules;
        policy::retry_budget& budget;
        targets::target_directory& directory;
        targets::request_dispatcher& dispatcher;
        targets::request_claims& claims;
        request_lookup& lookup;
        core::clock const& clock;
        targets::sleep_function pause;
    };

    explicit request_service(environment environment);

    /// Runs a request, or joins one in flight at this entry under the same id.
    /// @param submission the request
    /// @return its end, and when a refused one is worth another try
    targets::dispatch_outcome submit(submission const& submission);

    /// Finds out what became of a request.
    /// @return the answer or an error, see request_lookup::find
    core::result<targets::request_answer> find(std::string_view customer,
                                               std::string_view request_id);

    /// Refuses new requests from now on; those in flight finish.
    void begin_drain() { is_draining_ = true; }

private:
    struct flight
    {
        std::string body_digest;
        std::promise<targets::dispatch_outcome> promise;
        std::shared_future<targets::dispatch_outcome> end =
            promise.get_future().share();
    };

    std::optional<targets::dispatch_outcome>
    remembered(std::string const& key, std::string const& body_digest) const;
    targets::dispatch_outcome join(flight const& flight,
                                   targets::urgent_request const& request);
    targets::dispatch_outcome run(targets::urgent_request const& request);
    targets::dispatch_outcome
    admit_and_run(targets::urgent_request const& request);
    targets::dispatch_outcome
    run_unrepeatable(targets::urgent_request const& request);
    std::optional<targets::dispatch_outcome>
    earlier_end(targets::urgent_request const& request);
    core::result<targets::request_answer>
    wait_for_earlier(targets::urgent_request const& request);

    environment environment_;
    policy::admission admission_;
    result_memory memory_;
    core::sharded_map<std::shared_ptr<flight>> flights_;
    std::atomic<bool> is_draining_{false};
};

} // namespace sequoiaroute::callers
