#pragma once

#include "core/clock.hpp"
#include "platform/recovering_writer.hpp"
#include "targets/attempt_runner.hpp"
#include "targets/request_claim.hpp"
#include "targets/target_directory.hpp"
#include "targets/urgent_request.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiaroute::targets {

/// Access to the claim rows of unrepeatable requests, which ensure that each of
/// them runs at most once (docs/design.md, section 3.6). Thread-safe, but
/// claims of the same request must not run concurrently within one entry.
class request_claims
{
public:
    /// The dependencies, which must outlive the claims.
    struct dependencies
    {
        platform::recovering_writer& rows;
        target_directory& directory;
        core::clock const& clock;
        sleep_function sleep;
    };

    /// @param dependencies the objects that the claims use
    /// @param entry_id the id of this entry, written into the rows
    request_claims(dependencies dependencies, std::string entry_id);

    /// Authorizes an attempt: creates the row, or increments the attempt number
    /// of a row that is in state not_run, or claimed by an entry that no longer
    /// processes the request. Waits briefly if a live entry holds the claim.
    /// @param request the request, which this entry must not process twice at
    ///        the same time
    /// @param attempt_id the attempt to authorize
    /// @param target_id the target that will receive it
    /// @return the attempt number; request_id_reused if the row is for another
    ///         body; still_running if the request has started or finished, or
    ///         another entry is processing it; the stored error of a failed
    ///         request; store_unavailable, timed_out or write_unknown if the
    ///         table does not answer
    core::result<std::uint64_t> claim(urgent_request const& request,
                                      std::string_view attempt_id,
                                      std::string_view target_id);

    /// Marks a request that was abandoned before it started as not_run, if the
    /// attempt still holds the claim.
    /// @param reason the error that the caller receives, stored in the row
    /// @return ok; conflict if another attempt holds the claim or the state is
    ///         not claimed; or the error of the table
    core::status mark_not_run(urgent_request const& request,
                              std::string_view attempt_id,
                              core::error const& reason);

    /// Reads the claim row of a request.
    /// @return the claim, nothing if there is no row, or the error of the table
    core::result<std::optional<request_claim>>
    read(std::string_view customer, std::string_view request_id);

    /// @return whether the entry that authorized the attempt is this one or is
    ///         live
    bool is_held_by_live_entry(request_claim const& claim) const;

private:
    /// A claim row with its version.
    struct stored_claim
    {
        std::uint64_t version = 0; ///< 0 if there is no row
        request_claim claim;
    };

    core::result<stored_claim> load(std::string const& key);
    /// Writes a claim row if it still has the given version.
    core::status store(std::string const& key, std::uint64_t version,
                       request_claim const& claim);
    /// Checks that a new attempt may be authorized.
    /// @return ok; conflict if the row changed during the check; an error of
    ///         claim() otherwise
    core::status check_claimable(urgent_request const& request,
                                 stored_claim const& stored);
    /// Waits for the claim of another entry to change, that is, for the attempt
    /// to be started or abandoned.
    /// @return ok if the row stays claimed for the wait limit; conflict if it
    ///         changed; still_running if the deadline passed
    core::status wait_for_other_entry(urgent_request const& request,
                                      stored_claim const& stored);

    dependencies dependencies_;
    std::string entry_id_;
};

} // namespace sequoiaroute::targets
