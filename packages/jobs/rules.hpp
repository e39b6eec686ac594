#pragma once

#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::jobs {

/// The rule for one queue: its parameters, and the host and path to which
/// customers submit its jobs.
struct queue_rule
{
    queue_parameters parameters;
    std::string host;
    std::string path_prefix;
    bool is_public = false; ///< accepts calls without an API key
};

/// One version of the rules that operators set for queues and customers.
struct rules
{
    std::uint64_t version = 0;
    std::vector<queue_rule> queues;
    /// The customer that each API key belongs to.
    std::map<std::string, std::string> customer_by_key;
    /// The number of accelerators that the urgent jobs of a customer get at any
    /// time, if necessary by preemption.
    std::map<std::string, std::int64_t> guaranteed_accelerators;
    /// The largest request body that is accepted.
    std::size_t max_body_bytes = 1'048'576;

    /// Finds the queue for a request.
    /// @param host the host of the request
    /// @param path the path of the request
    /// @return the queue of the host with the longest matching path prefix;
    ///         null if there is none
    queue_rule const* find_queue(std::string_view host,
                                 std::string_view path) const;
};

} // namespace sequoiaroute::jobs
