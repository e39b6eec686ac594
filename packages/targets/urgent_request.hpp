#pragma once

#include "core/clock.hpp"

#include <string>

namespace sequoiaroute::targets {

/// A request of a caller, run by an executor while the caller waits.
struct urgent_request
{
    std::string request_id; ///< chosen by the caller, unique per customer
    std::string customer;
    std::string service; ///< the service whose executors can run it
    std::string body;
    /// core::digest of the body. Distinguishes a repeated submission from a
    /// reused request id.
    std::string body_digest;
    bool is_unrepeatable = false; ///< must run at most once
    core::time_point deadline{};  ///< when the caller stops waiting
};

/// The complete answer to a request.
struct request_answer
{
    std::string body;
    std::string digest; ///< core::digest of the body
};

} // namespace sequoiaroute::targets
