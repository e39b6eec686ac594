#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"

#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// A target as this entry knows it.
struct known_target
{
    peers::target_report report;
    core::duration age{}; ///< since it was last heard of, by any entry
    bool is_suspect = false;
};

/// The targets that this entry knows.
class target_directory
{
public:
    virtual ~target_directory() = default;

    /// @param kind which kind of target is wanted
    /// @return all known targets of that kind, leaving ones included
    virtual std::vector<known_target>
    targets(peers::target_kind kind) const = 0;

    /// Notes that a target answered, which counts as a report.
    virtual void record_contact(std::string_view target_id) = 0;

    /// Notes that a target could not be reached; it is suspect until it is
    /// heard of again.
    virtual void record_failure(std::string_view target_id) = 0;

    /// Tells whether a worker is certainly lost: its attempts may be replaced
    /// (section 3.12 of the design, conditions c and d).
    /// @param worker_id the worker
    /// @param incarnation the agent incarnation that held the attempt
    /// @return true if that incarnation certainly runs nothing any more
    virtual bool is_lost(std::string_view worker_id,
                         std::string_view incarnation) const = 0;

    /// @return the other entries that are live, this one excluded
    virtual std::vector<peers::entry_record> peer_entries() const = 0;
};

} // namespace sequoiaroute::targets
