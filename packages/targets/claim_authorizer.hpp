#pragma once

#include "targets/attempt_authorizer.hpp"
#include "targets/request_claims.hpp"

#include <string>

namespace sequoiaroute::targets {

/// Authorizes the attempts of one unrepeatable request by claiming its row in
/// the table. Not synchronized.
class claim_authorizer final : public attempt_authorizer
{
public:
    /// @param claims the claim rows; must outlive this object
    /// @param request the request; must outlive this object
    claim_authorizer(request_claims& claims, urgent_request const& request)
        : claims_(claims), request_(request)
    {
    }

    core::result<std::uint64_t> authorize(std::string_view attempt_id,
                                          std::string_view target_id) override;

    /// Marks the row as not_run after the request was abandoned before it
    /// started; does nothing if no attempt was authorized. If the write fails,
    /// the row stays claimed. The next entry to claim it increments the attempt
    /// number, which fences the attempt abandoned here.
    /// @param reason the error that the caller receives
    void mark_not_run(core::error const& reason);

private:
    request_claims& claims_;
    urgent_request const& request_;
    std::string attempt_id_; ///< the last one the row may hold; empty if none
};

} // namespace sequoiaroute::targets
