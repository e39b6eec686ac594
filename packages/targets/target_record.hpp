#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"
#include "targets/target_directory.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// What this entry knows of one target. Not synchronized.
class target_record
{
public:
    /// Takes a report that the agent sent to this entry.
    /// @param report the report
    /// @param now the current time
    /// @return false if a newer incarnation of the agent was seen before
    bool take_report(peers::target_report const& report, core::time_point now);

    /// Takes what another entry heard.
    /// @param delta the report, its age and the superseded incarnations
    /// @param heard_at when the other entry heard it, on the own clock
    void take_delta(peers::target_delta const& delta,
                    core::time_point heard_at);

    /// Notes that the agent answered this entry.
    void record_contact(core::time_point now);

    /// Notes that the agent could not be reached.
    void record_failure(core::time_point now) { failed_at_ = now; }

    /// @param now the current time
    /// @param suspect_after the silence that makes a target suspect
    known_target view(core::time_point now, core::duration suspect_after) const;

    /// @return the delta for other entries
    peers::target_delta delta(core::time_point now) const;

    /// @return whether the agent contacted this entry at or after a time
    bool is_heard_here_since(core::time_point time) const;

    /// @return whether a newer incarnation was certainly seen
    bool is_superseded(std::string_view incarnation) const;

    /// @return when an incarnation was last heard of, if ever
    std::optional<core::time_point>
    last_heard(std::string_view incarnation) const;

private:
    void supersede(std::string const& incarnation);
    void adopt(peers::target_report const& report, core::time_point heard_at);
    void take_same_incarnation(peers::target_report const& report,
                               core::time_point heard_at);

    peers::target_report report_;
    std::optional<core::time_point> heard_at_;
    std::optional<core::time_point> heard_here_at_;
    std::optional<core::time_point> failed_at_;
    std::vector<std::string> superseded_;
    /// Incarnations whose order to the current one is not known.
    std::map<std::string, core::time_point, std::less<>> unordered_;
};

} // namespace sequoiaroute::targets
