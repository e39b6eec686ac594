#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
#include "peers/link.hpp"
#include "platform/object_store.hpp"
#include "targets/request_claims.hpp"
#include "targets/target_directory.hpp"
#include "targets/urgent_request.hpp"

#include <optional>
#include <string_view>

namespace sequoiaroute::callers {

/// Looks up the outcome of a request that this entry has neither in flight nor
/// cached: in the object store, in its claim (a row of the table, for
/// unrepeatable requests), and at the agents of all executors.
class request_lookup
{
public:
    /// The dependencies of the lookup, which must outlive it.
    struct dependencies
    {
        platform::object_store& objects;
        targets::request_claims& claims;
        targets::target_directory& directory;
        peers::link_pool& links;
        core::clock const& clock;
    };

    explicit request_lookup(dependencies dependencies);

    /// Looks up a request. Blocks while the stores and agents are queried.
    /// @return the answer; still_running; the error of a failed request;
    ///         unknown_request only if both stores and all agents responded and
    ///         none has the request; internal_error if the claim says finished,
    ///         but no answer is stored; otherwise outcome_unknown or
    ///         store_unavailable
    core::result<targets::request_answer> find(std::string_view customer,
                                               std::string_view request_id);

private:
    using claim_outcome = core::result<std::optional<targets::request_claim>>;

    /// The combined responses of the agents.
    struct agent_findings
    {
        std::optional<targets::request_answer> answer;
        std::optional<core::error> failure;
        bool is_running = false;         ///< at one of the agents at least
        bool all_agents_answered = true; ///< false also if one was not queried
    };

    core::result<targets::request_answer>
    fetch_stored_answer(std::string_view customer, std::string_view request_id);
    /// Queries the agents one after another until one has the answer.
    agent_findings query_agents(std::string_view customer,
                                std::string_view request_id);
    void query_agent(targets::known_target const& target,
                     core::json const& query, core::duration limit,
                     agent_findings& findings);
    /// Determines the error for a request without an available answer.
    /// @param claim the result of reading the claim
    /// @param store_code why the object store returned no answer
    /// @param findings the responses of the agents
    core::error error_from_findings(claim_outcome const& claim,
                                    core::result_code store_code,
                                    agent_findings const& findings) const;
    core::error error_from_claim(targets::request_claim const& claim,
                                 core::result_code store_code) const;

    dependencies dependencies_;
};

} // namespace sequoiaroute::callers
