#pragma once

#include "core/clock.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/progress.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiaroute::gateway {

/// The operation that a customer requests.
enum class call_kind
{
    submit,
    read, ///< reads the state of a job, or the length of a queue
    cancel,
};

/// A customer's call to an entry.
struct customer_call
{
    call_kind kind = call_kind::read;
    std::string host; ///< selects the queue, together with the path
    std::string path; ///< the path prefix of the queue, then the job id
    std::string key;  ///< the customer's API key; empty if none was sent
    /// How long the customer waits for the reply; 0 for the default.
    core::duration time_limit{0};
    std::size_t body_bytes = 0; ///< size of the request body
    /// The submitted job; empty if the body could not be decoded.
    std::optional<jobs::job_spec> spec;
    /// Of a relayed call: the version of the rules that the relaying entry has
    /// applied. A peer with older ones does not decide on the call.
    std::uint64_t rules_version = 0;
    /// Of a relayed call: when the relaying entry gives it up, by the store's
    /// clock; 0 if unknown. A peer does not begin it later.
    core::duration expires_at{0};
};

/// The result of a call.
enum class call_outcome
{
    accepted,     ///< the job has been stored
    cancelled,    ///< the cancellation has been stored
    job_state,    ///< customer_reply::state holds the state of the job
    queue_length, ///< customer_reply::pending holds the length of the queue
    bad_request,  ///< the job or its id is invalid
    no_queue,     ///< no queue has this host and path
    unauthorized, ///< the queue requires a valid key
    no_job,       ///< the job does not exist, or has already finished
    not_accepted, ///< nothing was stored, and nothing will be
    unknown,      ///< the write may still be applied; the call may be retried
    unavailable,  ///< nothing was done; another entry may serve the call
    too_large,    ///< the body exceeds the size limit in the rules
};

/// @return the name of an outcome as it appears in the log and in metrics
std::string_view name(call_outcome outcome);

/// The reply to a call.
struct customer_reply
{
    call_outcome outcome = call_outcome::unavailable;
    jobs::job_state state = jobs::job_state::queued;
    std::size_t pending = 0;
    /// How long the customer should wait before it retries; 0 if not specified.
    core::duration retry_after{0};
};

/// Sends the reply to the customer.
using customer_responder = std::function<void(customer_reply const&)>;

} // namespace sequoiaroute::gateway
