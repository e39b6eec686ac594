#include "targets/request_claims.hpp"

#include "targets/unknown_outcome.hpp"

#include <algorithm>
#include <array>

namespace sequoiaroute::targets {

namespace {

using core::result_code;

// A claimed request normally starts within milliseconds. If a row stays claimed
// this long, its entry has abandoned the request; if it has not, the agent
// refuses its attempt, because the new claim has a higher attempt number.
constexpr core::duration claim_wait_limit{1000};
constexpr core::duration claim_poll_period{100};
// Each conflict means that another writer has advanced the claim.
constexpr int max_write_conflicts = 8;

core::error error_of_failed_claim(request_claim const& claim)
{
    auto const code = static_cast<result_code>(claim.code);
    if (code == result_code::outcome_unknown)
        return unrepeatable_outcome_unknown();
    auto const is_usable = code != result_code::ok && !core::is_not_run(code);
    return {is_usable ? code : result_code::execution_failed, claim.message};
}

} // namespace

request_claims::request_claims(dependencies dependencies, std::string entry_id)
    : dependencies_(std::move(dependencies)), entry_id_(std::move(entry_id))
{
}

core::result<std::uint64_t> request_claims::claim(urgent_request const& request,
                                                  std::string_view attempt_id,
                                                  std::string_view target_id)
{
    auto const key = claim_key(request.customer, request.request_id);
    for (int write_try = 0; write_try < max_write_conflicts; ++write_try) {
        SEQUOIA_TRY_INTO(auto const stored, load(key));
        auto const claimable = check_claimable(request, stored);
        if (core::code_of(claimable) == result_code::conflict)
            continue;
        if (!core::is_ok(claimable))
            return core::failure(claimable);
        request_claim claim;
        claim.attempt = stored.claim.attempt + 1;
        claim.attempt_id = attempt_id;
        claim.target_id = target_id;
        claim.entry_id = entry_id_;
        claim.body_digest = request.body_digest;
        auto const written = store(key, stored.version, claim);
        if (core::is_ok(written))
            return claim.attempt;
        if (core::code_of(written) != result_code::conflict)
            return core::failure(written);
    }
    return core::error{result_code::still_running,
                       "other entries are working on the request"};
}

core::status request_claims::check_claimable(urgent_request const& request,
                                             stored_claim const& stored)
{
    if (stored.version == 0)
        return core::success();
    if (stored.claim.body_digest != request.body_digest) {
        return core::error{
            result_code::request_id_reused,
            "the request id was used before for another request body"};
    }
    switch (stored.claim.state) {
    case claim_state::not_run:
        return core::success();
    case claim_state::failed:
        return error_of_failed_claim(stored.claim);
    case claim_state::started:
    case claim_state::finished:
        return core::error{result_code::still_running,
                           "the request has already been started"};
    case claim_state::claimed:
        break;
    }
    if (stored.claim.entry_id == entry_id_ ||
        !is_held_by_live_entry(stored.claim))
        return core::success();
    return wait_for_other_entry(request, stored);
}

core::status request_claims::wait_for_other_entry(urgent_request const& request,
                                                  stored_claim const& stored)
{
    auto const key = claim_key(request.customer, request.request_id);
    auto const until = dependencies_.clock.now() + claim_wait_limit;
    while (dependencies_.clock.now() < until) {
        if (dependencies_.clock.now() >= request.deadline) {
            return core::error{result_code::still_running,
                               "another entry is working on the request"};
        }
        dependencies_.sleep(claim_poll_period);
        SEQUOIA_TRY_INTO(auto const latest, load(key));
        if (latest.version != stored.version)
            return core::error{result_code::conflict,
                               "the claim row has changed"};
    }
    return core::success();
}

core::status request_claims::mark_not_run(urgent_request const& request,
                                          std::string_view attempt_id,
                                          core::error const& reason)
{
    auto const key = claim_key(request.customer, request.request_id);
    SEQUOIA_TRY_INTO(auto stored, load(key));
    if (stored.version == 0 || stored.claim.state != claim_state::claimed ||
        stored.claim.attempt_id != attempt_id)
        return core::error{result_code::conflict,
                           "the row no longer holds the claimed attempt"};
    stored.claim.state = claim_state::not_run;
    stored.claim.code = static_cast<std::uint16_t>(reason.code);
    stored.claim.message = reason.message;
    return store(key, stored.version, stored.claim);
}

core::result<std::optional<request_claim>>
request_claims::read(std::string_view customer, std::string_view request_id)
{
    SEQUOIA_TRY_INTO(auto stored, load(claim_key(customer, request_id)));
    if (stored.version == 0)
        return std::optional<request_claim>();
    return std::optional(std::move(stored.claim));
}

bool request_claims::is_held_by_live_entry(request_claim const& claim) const
{
    auto const peers = dependencies_.directory.peer_entries();
    return claim.entry_id == entry_id_ ||
           std::ranges::any_of(peers, [&](auto const& entry) {
               return entry.entry_id == claim.entry_id;
           });
}

core::result<request_claims::stored_claim>
request_claims::load(std::string const& key)
{
    SEQUOIA_TRY_INTO(auto const row, dependencies_.rows.read(key));
    if (row.version == 0)
        return stored_claim{};
    auto claim = core::message_from<request_claim>(row.value);
    if (!core::is_ok(claim)) {
        return core::error{result_code::internal_error,
                           "row " + key + " is not a valid claim: " +
                               core::failure(claim).message};
    }
    return stored_claim{row.version, core::value(std::move(claim))};
}

core::status request_claims::store(std::string const& key,
                                   std::uint64_t version,
                                   request_claim const& claim)
{
    std::array const conditions{platform::row_condition{key, version}};
    std::array const writes{platform::row_write{key, core::json(claim)}};
    return dependencies_.rows.write(conditions, writes);
}

} // namespace sequoiaroute::targets
