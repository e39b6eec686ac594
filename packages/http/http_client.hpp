#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/http_message.hpp"

#include <string_view>

namespace sequoiaroute::http {

/// A blocking HTTP client.
class http_client
{
public:
    virtual ~http_client() = default;

    /// Sends a request and waits for the complete response.
    /// @param address the address of the server as IP:PORT
    /// @param request the request
    /// @param timeout for connecting, sending and receiving together
    /// @return the response; unreachable if the request was not sent; timed_out
    ///         if it was sent, but the connection broke or the timeout expired
    ///         before the response arrived, so that the server may have handled
    ///         it; answer_incomplete if the response body was cut short
    virtual core::result<http_response> send(std::string_view address,
                                             http_request const& request,
                                             core::duration timeout) = 0;
};

} // namespace sequoiaroute::http
