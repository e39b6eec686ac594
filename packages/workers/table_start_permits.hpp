#pragma once

#include "platform/recovering_writer.hpp"
#include "workers/start_permits.hpp"

#include <string>
#include <utility>

namespace sequoiaroute::workers {

/// Start permits that are kept in the rows requests/CUSTOMER/ID of the table.
class table_start_permits final : public start_permits
{
public:
    /// @param writer accesses the table
    /// @param incarnation the incarnation of this agent
    table_start_permits(platform::recovering_writer& writer,
                        std::string incarnation)
        : writer_(writer), incarnation_(std::move(incarnation))
    {
    }

    core::status acquire(request_attempt const& attempt) override;
    core::status record_outcome(request_attempt const& attempt,
                                permit_outcome const& outcome) override;
    core::status revert_to_claimed(request_attempt const& attempt) override;

private:
    /// @return true if the row was started for the attempt by this incarnation
    bool belongs_to(core::json const& value,
                    request_attempt const& attempt) const;
    /// Updates a row in state started that belongs to the attempt.
    /// @param changes the members to change, among them the new state
    core::status update_started_row(request_attempt const& attempt,
                                    core::json const& changes);
    /// Writes a new value on the condition that the version is unchanged.
    core::status write(platform::row const& row, core::json new_value);

    platform::recovering_writer& writer_;
    std::string incarnation_;
};

} // namespace sequoiaroute::workers
