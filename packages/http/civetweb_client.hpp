#pragma once

#include "http/http_client.hpp"

namespace sequoiaroute::http {

/// An HTTP client based on CivetWeb. Each request uses a new connection.
///
/// CivetWeb's timeouts cannot be set: 10 s for connecting and 30 s for each
/// read of a body. Each exchange therefore runs on a thread of its own. The
/// caller returns at its own timeout; the thread ends at those of CivetWeb.
class civetweb_client final : public http_client
{
public:
    civetweb_client();

    core::result<http_response> send(std::string_view address,
                                     http_request const& request,
                                     core::duration timeout) override;
};

} // namespace sequoiaroute::http
