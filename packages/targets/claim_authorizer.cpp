#include "targets/claim_authorizer.hpp"

#include "core/log.hpp"

namespace sequoiaroute::targets {

core::result<std::uint64_t>
claim_authorizer::authorize(std::string_view attempt_id,
                            std::string_view target_id)
{
    auto number = claims_.claim(request_, attempt_id, target_id);
    // A write with an unknown outcome may have stored the attempt too.
    auto const code = core::code_of(number);
    if (code == core::result_code::ok ||
        code == core::result_code::write_unknown)
        attempt_id_ = attempt_id;
    return number;
}

void claim_authorizer::mark_not_run(core::error const& reason)
{
    if (attempt_id_.empty())
        return;
    auto const marked = claims_.mark_not_run(request_, attempt_id_, reason);
    if (!core::is_ok(marked)) {
        core::log(core::log_level::warning,
                  "could not mark the request as not run",
                  {{"request", request_.request_id},
                   {"customer", request_.customer},
                   {"reason", core::failure(marked).message}});
    }
}

} // namespace sequoiaroute::targets
