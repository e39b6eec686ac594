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
/// those that are no longer used.
class nng_link_pool final : public link_pool
{
public:
    /// @param timers calls the probes
    /// @param identity what the envelopes carry
    /// @param options periods and limits of the links
    nng_link_pool(core::timer_service& timers, link_identity identity,
                  link_options const& options);

    std::shared_ptr<link> link_to(std::string_view address) override;

    /// @return how many silent connections were replaced
    std::uint64_t replaced_connections() const;

private:
    void probe();

    link_identity identity_;
    link_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<nng_link>, std::less<>> links_;
    std::uint64_t closed_replacements_ = 0; ///< of links closed since
    std::unique_ptr<core::timer_service::subscription> subscription_;
};

} // namespace sequoiaroute::peers
