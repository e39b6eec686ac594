#pragma once

#include "core/clock.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/progress.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiaroute::gateway {

/// What a customer wants.
enum class call_kind
{
    submit,
    read, ///< the state of a job, or the length of a queue
    cancel,
};

/// A call of a customer.
struct customer_call
{
    call_kind kind = call_kind::read;
    std::string host;
    std::string path;
    std::string key; ///< proves who calls; empty if none was sent
    core::duration time_limit{0};
    std::size_t body_bytes = 0; ///< of the submitted job as it was sent
    /// The submitted job; nothing if the body cannot be read as one.
    std::optional<jobs::job_spec> spec;
};

/// How a call was answered.
enum class call_outcome
{
    accepted,     ///< the job is stored
    cancelled,    ///< the cancellation is stored
    job_state,    ///< `state` holds the state
    queue_length, ///< `pending` holds the number
    bad_request,
    no_queue,
    unauthorized,
    no_job,
    not_accepted, ///< nothing was stored, and nothing will be
    unknown,      ///< it may have been stored; the same call may be repeated
    unavailable,  ///< nothing was done; another process may be able to
    too_large,    ///< the job exceeds what the rules allow
};

/// @return the stable name of an outcome
std::string_view name(call_outcome outcome);

struct customer_reply
{
    call_outcome outcome = call_outcome::unavailable;
    jobs::job_state state = jobs::job_state::queued;
    std::size_t pending = 0;
    core::duration retry_after{0};
};

using customer_responder = std::function<void(customer_reply const&)>;

} // namespace sequoiaroute::gateway
