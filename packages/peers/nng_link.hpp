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
/// (docs/design.md, section 3.11). Calls in flight on the replaced connection
/// return timed_out immediately, so that the caller can request the answer with
/// a `query` on the new one.
class nng_link final : public link
{
public:
    /// @param address the IP:PORT on which the other process listens
    /// @param identity the sender fields of the envelopes
    /// @param options the options of the link
    nng_link(std::string address, sender_identity identity,
             link_options const& options);

    core::result<answer_envelope> call(std::string_view kind,
                                       core::json const& body,
                                       core::duration time_limit) override;

    /// Pings the other process while calls are in flight, and replaces a silent
    /// connection. Does not wait for answers. Must be called several times per
    /// ping period.
    void probe();

    /// @return the number of connections replaced so far
    std::uint64_t replaced_connections() const { return replaced_connections_; }

    /// @return true if neither the connection nor a second one answered pings,
    ///         and no answer has arrived since
    bool is_suspect() const { return is_suspect_; }

    /// @return true if no call was in flight for the idle timeout
    bool is_idle() const;

private:
    core::result<std::shared_ptr<nng_connection>> begin_call();
    void end_call(bool is_answered, nng_connection const& connection);
    /// Evaluates the last ping on the current connection and sends the next.
    void probe_current(core::time_point now);
    /// Opens a candidate if the current connection is silent, and replaces the
    /// current connection once the candidate answers a ping.
    void probe_candidate(core::time_point now);
    void open_candidate();
    void clear_candidate();
    envelope make_envelope(std::string_view kind, core::json body) const;

    std::string address_;
    sender_identity identity_;
    link_options options_;
    core::system_clock clock_;
    std::atomic<std::uint64_t> replaced_connections_ = 0;
    std::atomic<bool> is_suspect_ = false;
    mutable std::mutex mutex_;                  ///< guards the members below
    std::shared_ptr<nng_connection> current_;   ///< null before the first call
    std::shared_ptr<nng_connection> candidate_; ///< possible replacement
    std::unique_ptr<link_probe> current_probe_;
    std::unique_ptr<link_probe> candidate_probe_;
    core::time_point last_ping_at_;
    core::time_point last_answer_at_;
    core::time_point last_call_ended_at_;
    int calls_in_flight_ = 0;
};

} // namespace sequoiaroute::peers
