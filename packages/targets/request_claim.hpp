#pragma once

#include "core/codec.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::targets {

/// The state of an unrepeatable request. Entries write claimed and not_run,
/// agents write the others.
enum class claim_state
{
    claimed,  ///< an attempt is authorized and may start
    started,  ///< an agent holds the permit to start the attempt
    finished, ///< the result object is stored
    failed,   ///< the attempt ran and failed
    not_run,  ///< abandoned before it started; may be claimed again
};

NLOHMANN_JSON_SERIALIZE_ENUM(claim_state, {{claim_state::claimed, "claimed"},
                                           {claim_state::started, "started"},
                                           {claim_state::finished, "finished"},
                                           {claim_state::failed, "failed"},
                                           {claim_state::not_run, "not_run"}})

/// The value of the row requests/CUSTOMER/REQUEST_ID.
struct request_claim
{
    claim_state state = claim_state::claimed;
    /// The number of the attempt. An increment fences the earlier attempts.
    std::uint64_t attempt = 0;
    std::string attempt_id;
    std::string target_id;
    std::string entry_id;          ///< the entry that authorized the attempt
    std::string body_digest;       ///< core::digest of the request body
    std::string agent_incarnation; ///< of the agent with the start permit
    std::uint16_t code = 0;        ///< core::result_code of failed and not_run
    std::string message;           ///< error message of failed and not_run

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(request_claim, state, attempt, attempt_id,
                                   target_id, entry_id, body_digest,
                                   agent_incarnation, code, message)
};

/// @return the key of the claim row of a request
inline std::string claim_key(std::string_view customer,
                             std::string_view request_id)
{
    return std::string("requests/")
        .append(customer)
        .append("/")
        .append(request_id);
}

} // namespace sequoiaroute::targets
