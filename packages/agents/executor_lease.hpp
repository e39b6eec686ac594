#pragma once

#include "core/clock.hpp"
#include "jobs/lease_timing.hpp"

#include <cstdint>
#include <optional>

namespace sequoiaroute::agents {

/// The lease that an agent grants to all runs of its executor. It is measured
/// on the executor's clock, and extended only while the store confirms that the
/// agent is alive, so that the decider can tell when the runs of a silent agent
/// have ended.
class executor_lease
{
public:
    /// @param timing the lengths of leases and the tolerated outages
    explicit executor_lease(jobs::lease_timing timing) : timing_(timing) {}

    /// Forgets the clock and the lease of the previous incarnation.
    void reset();

    /// @param clock_ms the executor's clock in milliseconds, from a reply
    /// @param received_at when the reply arrived
    void record_clock(std::int64_t clock_ms, core::time_point received_at);

    /// Assumes that calls of which this object does not know have extended the
    /// lease: those of an earlier process, or those to an earlier incarnation.
    /// The clock of the latter says nothing on the current one, which may have
    /// granted its longest lease.
    /// @param now no such call has taken effect later
    void assume_longest_lease(core::time_point now);

    /// @param sent_at when a report that has been stored was sent
    void record_store_contact(core::time_point sent_at);

    /// Allows no extension until resume(). Used while the executor refuses
    /// connections, or a successor may answer in its place.
    void suspend() { is_suspended_ = true; }

    void resume() { is_suspended_ = false; }

    bool is_suspended() const { return is_suspended_; }

    /// @return whether the executor's clock is known
    bool is_clock_known() const { return clock_read_at_.has_value(); }

    /// @return whether a call sent now may extend the lease
    bool may_extend(core::time_point now) const;

    /// Extends the lease with the next call, whether or not it is answered: an
    /// unanswered call may still take effect.
    /// @param now when the call is sent
    /// @return the end of the lease by the executor's clock in milliseconds;
    ///         nullopt if the lease must not be extended now
    std::optional<std::int64_t> extend(core::time_point now);

    /// @return whether no lease was granted, so that nothing can be running
    bool is_unused() const { return !stopped_by_; }

    /// Records that the lease has expired and all runs have ended.
    void end() { stopped_by_.reset(); }

    /// @return whether the lease has been extended, and has certainly run out
    ///         since, together with all runs
    bool has_run_out(core::time_point now) const;

    /// @return whether the lease has been extended, must not be extended any
    ///         more, and has certainly run out, together with all runs
    bool has_expired(core::time_point now) const;

private:
    void record_extension(core::time_point now);

    jobs::lease_timing timing_;
    std::int64_t clock_ms_ = 0; ///< the executor's clock at clock_read_at_
    std::optional<core::time_point> clock_read_at_;
    /// By when the executor has certainly stopped all runs, unless the lease is
    /// extended again.
    std::optional<core::time_point> stopped_by_;
    std::optional<core::time_point> store_contact_at_;
    bool is_suspended_ = false;
};

} // namespace sequoiaroute::agents
