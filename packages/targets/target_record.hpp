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

/// The state of one target, merged from its own reports and from the updates of
/// other entries. Orders the incarnations of its agent where one was seen to
/// replace another. Not synchronized.
class target_record
{
public:
    /// Applies a report that the agent sent to this entry. A report of a new
    /// incarnation supersedes the current one; a report with an old sequence
    /// number is ignored.
    /// @param report the report
    /// @param now the current time
    /// @return false if the report's incarnation has been superseded
    bool apply_report(peers::target_report const& report, core::time_point now);

    /// Applies the state of the target at another entry.
    /// @param update the report, its age and the superseded incarnations
    /// @param contact_at the last contact with the target according to the
    ///        update, on the clock of this entry
    void apply_update(peers::target_update const& update,
                      core::time_point contact_at);

    /// Records that the agent contacted this entry, which ends a suspicion.
    void record_contact(core::time_point now);

    /// Records that the agent could not be reached. The target is suspect until
    /// a later contact.
    void record_failure(core::time_point now) { failed_at_ = now; }

    /// @param now the current time
    /// @param suspect_after time without contact after which the target is
    ///        suspect
    /// @return the state of the target at this time
    known_target view(core::time_point now, core::duration suspect_after) const;

    /// @return the state to send to other entries
    peers::target_update make_update(core::time_point now) const;

    /// @return whether the agent contacted this entry itself at or after a time
    bool had_direct_contact_since(core::time_point time) const;

    /// @return whether an entry has seen a newer incarnation replace this one
    bool is_superseded(std::string_view incarnation) const;

    /// @return the last contact of any entry with an incarnation, if known
    std::optional<core::time_point>
    last_contact(std::string_view incarnation) const;

private:
    /// Marks an incarnation as replaced by a newer one.
    void supersede(std::string const& incarnation);
    /// Makes a report the current one. Clears a failure before the contact.
    void replace_report(peers::target_report const& report,
                        core::time_point contact_at);
    void apply_same_incarnation(peers::target_report const& report,
                                core::time_point contact_at);

    peers::target_report report_;
    std::optional<core::time_point> last_contact_at_;   ///< with any entry
    std::optional<core::time_point> direct_contact_at_; ///< with this entry
    std::optional<core::time_point> failed_at_; ///< unset by a later contact
    std::vector<std::string> superseded_;       ///< the oldest first
    /// The last contact with incarnations that may be older or newer than the
    /// current one.
    std::map<std::string, core::time_point, std::less<>>
        unordered_incarnations_;
};

} // namespace sequoiaroute::targets
