#pragma once

#include "targets/attempt_authorizer.hpp"
#include "targets/request_claims.hpp"

#include <string>

namespace sequoiaroute::targets {

/// The authorizer of one unrepeatable request: its row in the table.
class claim_authorizer final : public attempt_authorizer
{
public:
    /// @param claims the rows, which must outlive this object
    /// @param request the request, which must outlive this object
    claim_authorizer(request_claims& claims, urgent_request const& request)
        : claims_(claims), request_(request)
    {
    }

    core::result<std::uint64_t> authorize(std::string_view attempt_id,
                                          std::string_view target_id) override;

    /// Notes in the row that the request was given up before it started. If
    /// that fails, the row stays claimed, and whoever recovers it must raise
    /// the attempt, so that the attempt given up here never starts.
    void mark_not_run(core::error const& reason);

private:
    request_claims& claims_;
    urgent_request const& request_;
    std::string attempt_id_;
};

} // namespace sequoiaroute::targets
