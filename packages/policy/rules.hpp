#pragma once

#include "core/codec.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::policy {

/// The smallest part of the fleet that must contain all members of a gang.
/// Ordered from the widest to the narrowest.
enum class adjacency
{
    any, ///< the whole fleet
    data_centre,
    rack,
    worker,
};

NLOHMANN_JSON_SERIALIZE_ENUM(adjacency,
                             {{adjacency::any, "any"},
                              {adjacency::data_centre, "data_centre"},
                              {adjacency::rack, "rack"},
                              {adjacency::worker, "worker"}})

/// Capacity that a customer can always reclaim from borrowing jobs: a number
/// of cells, each a set of adjacent accelerators.
struct guaranteed_shape
{
    int cells = 1;
    int accelerators_per_cell = 1;
    adjacency within = adjacency::worker; ///< scope that contains a cell

    bool operator==(guaranteed_shape const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(guaranteed_shape, cells,
                                   accelerators_per_cell, within)
};

/// Quotas of one customer, over all entries.
struct customer_limits
{
    int requests_per_second = 20;
    int concurrent_requests = 32;
    int queued_jobs = 1000;
    int accelerators = 0; ///< held at the same time; 0 means no limit

    bool operator==(customer_limits const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(customer_limits, requests_per_second,
                                   concurrent_requests, queued_jobs,
                                   accelerators)
};

/// The rules for one customer.
struct customer_rules
{
    std::string customer;
    int priority = 0; ///< a higher value raises the score in the queue
    std::vector<guaranteed_shape> guarantees;
    customer_limits limits;

    bool operator==(customer_rules const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(customer_rules, customer, priority,
                                   guarantees, limits)
};

/// A parsed rule file and its generation.
struct rule_set
{
    std::uint64_t generation = 0; ///< 0 if there are no rules
    std::map<std::string, customer_rules> customers;
    std::string text; ///< the rule file, unchanged

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(rule_set, generation, customers, text)
};

} // namespace sequoiaroute::policy
