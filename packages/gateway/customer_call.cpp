#include "gateway/customer_call.hpp"

namespace sequoiaroute::gateway {

std::string_view name(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::accepted:
        return "accepted";
    case call_outcome::cancelled:
        return "cancelled";
    case call_outcome::job_state:
        return "job_state";
    case call_outcome::queue_length:
        return "queue_length";
    case call_outcome::bad_request:
        return "bad_request";
    case call_outcome::too_large:
        return "too_large";
    case call_outcome::no_queue:
        return "no_queue";
    case call_outcome::unauthorized:
        return "unauthorized";
    case call_outcome::no_job:
        return "no_job";
    case call_outcome::not_accepted:
        return "not_accepted";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::unavailable:
        return "unavailable";
    }
    return "unavailable";
}

} // namespace sequoiaroute::gateway
