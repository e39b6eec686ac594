#pragma once

#include "core/clock.hpp"
#include "jobs/lease_timing.hpp"

#include <string>

namespace sequoiaroute::agents {

/// The session of an agent. It lasts as long as the decider cannot have taken
/// the agent as lost: each stored report follows the one before it within
/// lease_timing::session_timeout(). Orders name the session for which they were
/// placed. Those of an earlier session may have been withdrawn without the
/// agent knowing it yet, so their runs must not be started.
///
/// Each process of an agent begins a session of its own. It does not know when
/// the reports of the one before were stored, nor which ends that one reported
/// last.
///
/// Sessions are compared for equality only, and no two are alike.
class agent_session
{
public:
    /// Begins without a session: is_over() until begin().
    /// @param timing the lease timing that agent and decider share
    explicit agent_session(jobs::lease_timing timing) : timing_(timing) {}

    /// Begins a new session.
    /// @param now when it begins; no report has named it before
    void begin(core::time_point now);

    /// @param sent_at when a report that has been stored was sent
    void record_contact(core::time_point sent_at);

    /// @param now the current time; for a report that has just been stored,
    ///        when the store's answer arrived
    /// @return whether the decider may have taken the agent as lost
    bool is_over(core::time_point now) const;

    /// @return the id of the session; empty before the first one
    std::string const& id() const { return id_; }

private:
    jobs::lease_timing timing_;
    std::string id_;
    /// When the last stored report was sent, or when the session began.
    core::time_point contact_at_{};
};

} // namespace sequoiaroute::agents
