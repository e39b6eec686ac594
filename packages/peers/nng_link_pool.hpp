#pragma once

#include "core/timer_service.hpp"
#include "peers/link.hpp"
#include "peers/nng_link.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sequoiaroute::peers {

/// Keeps one nng link per address, probes the links periodically and closes
/// idle ones.
class nng_link_pool final : public link_pool
{
public:
    /// @param timers runs the periodic probes; must outlive the pool
    /// @param identity the sender fields of the envelopes
    /// @param options the options of each link
    nng_link_pool(core::timer_service& timers, sender_identity identity,
                  link_options const& options);

    std::shared_ptr<link> link_to(std::string_view address) override;

    /// @return the number of silent connections replaced so far, on open and
    ///         closed links
    std::uint64_t replaced_connections() const;

private:
    /// Probes all links and closes the idle ones.
    void probe();

    sender_identity identity_;
    link_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<nng_link>, std::less<>> links_;
    std::uint64_t replaced_on_closed_links_ = 0;
    std::unique_ptr<core::timer_service::subscription> subscription_;
};

} // namespace sequoiaroute::peers
