#pragma once

#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::jobs {

/// A queue of jobs and the address under which customers reach it.
struct queue_rule
{
    queue_parameters parameters;
    std::string host;
    std::string path_prefix;
    bool is_public = false; ///< needs no key
};

/// The rules in force.
struct rules
{
    std::uint64_t version = 0;
    std::vector<queue_rule> queues;
    std::map<std::string, std::string> customer_by_key;
    /// Accelerators that belong to a customer's urgent jobs at all times.
    std::map<std::string, std::int64_t> guaranteed_accelerators;
    std::size_t max_body_bytes = 1'048'576;

    /// Finds the queue whose prefix is the longest one that a path begins with.
    /// @param host the host of the request
    /// @param path the path of the request
    /// @return the queue, null if there is none
    queue_rule const* find_queue(std::string_view host,
                                 std::string_view path) const;
};

} // namespace sequoiaroute::jobs
