#pragma once

#include "core/clock.hpp"
#include "peers/link.hpp"
#include "peers/link_probe.hpp"
#include "peers/nng_connection.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace sequoiaroute::peers {

/// A link over nng that replaces a connection which stopped delivering data
/// (design 3.11). Calls caught on a replaced connection return timed_out at
/// once, so that the caller can ask for the answer (`query`) on the new one.
class nng_link final : public link
{
public:
    /// @param address the IP:PORT of the process
    /// @param identity what the envelopes carry
    /// @param options periods and limits
    nng_link(std::string address, link_identity identity,
             link_options const& options);

    core::result<answer_envelope> call(std::string_view kind,
                                       core::json const& body,
                                       core::duration time_limit) override;

    /// Pings and replaces the connection as needed, without blocking. To be
    /// called several times per ping period.
    void probe();

    /// @return how often the connection was replaced
    std::uint64_t replaced_connections() const { return replacements_; }

    /// @return true if neither the connection nor a second one answers pings
    bool is_suspect() const { return is_suspect_; }

    /// @return true if no call ran for the idle limit
    bool is_idle() const;

private:
    core::result<std::shared_ptr<nng_connection>> begin_call();
    void end_call(bool is_answered, nng_connection const& connection);
    void probe_current(core::time_point now);
    void probe_candidate(core::time_point now);
    void open_candidate();
    void clear_candidate();
    envelope make_envelope(std::string_view kind, core::json body) const;

    std::string address_;
    link_identity identity_;
    link_options options_;
    core::system_clock clock_;
    std::atomic<std::uint64_t> replacements_ = 0;
    std::atomic<bool> is_suspect_ = false;
    mutable std::mutex mutex_;
    std::shared_ptr<nng_connection> current_;
    std::shared_ptr<nng_connection> candidate_;
    std::unique_ptr<link_probe> current_probe_;
    std::unique_ptr<link_probe> candidate_probe_;
    core::time_point probed_at_;
    core::time_point heard_at_;
    core::time_point used_at_;
    int calls_in_flight_ = 0;
};

} // namespace sequoiaroute::peers
