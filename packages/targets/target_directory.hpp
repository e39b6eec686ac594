#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"

#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// The state of a target as known to this entry.
struct known_target
{
    peers::target_report report; ///< the latest report
    core::duration age{};        ///< since the last contact with any entry
    bool is_suspect = false;     ///< no recent contact, or a call has failed
};

/// The targets known to this entry: executors and workers. Implementations are
/// thread-safe.
class target_directory
{
public:
    virtual ~target_directory() = default;

    /// @param kind the kind of target
    /// @return all known targets of that kind, including suspect ones and those
    ///         that are leaving
    virtual std::vector<known_target>
    targets(peers::target_kind kind) const = 0;

    /// Records that a target answered this entry, which counts as contact like
    /// a report. Ignored for an unknown target.
    virtual void record_contact(std::string_view target_id) = 0;

    /// Records that a target could not be reached. It is suspect until the next
    /// contact. Ignored for an unknown target.
    virtual void record_failure(std::string_view target_id) = 0;

    /// Checks whether a worker is lost, so that its attempts may be replaced
    /// (docs/design.md, section 3.12, conditions c and d).
    /// @param worker_id the target id of the worker
    /// @param incarnation the agent incarnation that holds the attempt
    /// @return true only if that incarnation certainly no longer runs anything
    virtual bool is_lost(std::string_view worker_id,
                         std::string_view incarnation) const = 0;

    /// @return the live entries other than this one
    virtual std::vector<peers::entry_record> peer_entries() const = 0;
};

} // namespace sequoiaroute::targets
