#include "peers/nng_link_pool.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace sequoiaroute::peers {

namespace {

/// A silent connection is detected at most a quarter of a ping period late.
constexpr int probes_per_period = 4;

} // namespace

nng_link_pool::nng_link_pool(core::timer_service& timers,
                             sender_identity identity,
                             link_options const& options)
    : identity_(std::move(identity)), options_(options)
{
    subscription_ = timers.subscribe(
        std::max(options.ping_period / probes_per_period, core::duration(1)),
        [this] { probe(); });
}

std::shared_ptr<link> nng_link_pool::link_to(std::string_view address)
{
    std::lock_guard const lock(mutex_);
    auto found = links_.find(address);
    if (found == links_.end()) {
        std::string const key(address);
        found = links_
                    .emplace(key, std::make_shared<nng_link>(key, identity_,
                                                             options_))
                    .first;
    }
    return found->second;
}

void nng_link_pool::probe()
{
    std::vector<std::shared_ptr<nng_link>> links;
    {
        std::lock_guard const lock(mutex_);
        for (auto current = links_.begin(); current != links_.end();) {
            links.push_back(current->second);
            // The map and this list are two owners; a third one is a caller.
            if (current->second.use_count() > 2 ||
                !current->second->is_idle()) {
                ++current;
                continue;
            }
            replaced_on_closed_links_ +=
                current->second->replaced_connections();
            current = links_.erase(current);
        }
    }
    for (auto const& link : links)
        link->probe();
}

std::uint64_t nng_link_pool::replaced_connections() const
{
    std::lock_guard const lock(mutex_);
    auto sum = replaced_on_closed_links_;
    for (auto const& [address, link] : links_)
        sum += link->replaced_connections();
    return sum;
}

} // namespace sequoiaroute::peers
