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

/// The rows of unrepeatable requests, by which each runs at most once
/// (section 3.6 of the design).
class request_claims
{
public:
    /// Everything that the claims use; all of it must outlive them.
    struct environment
    {
        platform::recovering_writer& rows;
        target_directory& directory;
        core::clock const& clock;
        sleep_function pause;
    };

    /// @param environment what the claims use
    /// @param entry_id the id of this entry, written into the rows
    request_claims(environment environment, std::string entry_id);

    /// Authorizes an attempt: creates the row, or raises the attempt of a row
    /// that says not_run, or claimed by an entry that no longer works on it.
    /// The caller makes sure that this entry works on the request only once.
    /// @return the attempt number; request_id_reused for another body;
    ///         still_running if the request is started, finished or being
    ///         worked on by another entry; the code of a failed request;
    ///         store_unavailable, timed_out or write_unknown if the table does
    ///         not answer
    core::result<std::uint64_t> claim(urgent_request const& request,
                                      std::string_view attempt_id,
                                      std::string_view target_id);

    /// Notes that a request was given up before it started, if the row still
    /// holds the attempt as claimed.
    /// @param reason the answer that the caller gets
    /// @return ok; conflict if the row says something else; or a store error
    core::status mark_not_run(urgent_request const& request,
                              std::string_view attempt_id,
                              core::error const& reason);

    /// Reads the row of a request.
    /// @return the claim, nothing if there is no row, or a store error
    core::result<std::optional<request_claim>>
    read(std::string_view customer, std::string_view request_id);

    /// @return whether the entry that authorized the claim is known as live
    bool is_held_by_live_entry(request_claim const& claim) const;

private:
    struct stored_claim
    {
        std::uint64_t version = 0; ///< 0 if there is no row
        request_claim claim;
    };

    core::result<stored_claim> load(std::string const& key);
    core::status store(std::string const& key, std::uint64_t version,
                       request_claim const& claim);
    core::status check_available(urgent_request const& request,
                                 stored_claim const& stored);
    core::status wait_for_other_entry(urgent_request const& request,
                                      stored_claim const& stored);

    environment environment_;
    std::string entry_id_;
};

} // namespace sequoiaroute::targets
