#pragma once

#include "core/clock.hpp"
#include "event/http_message.hpp"

#include <functional>
#include <string>

namespace sequoiaroute::event {

/// A request of a client.
struct http_call
{
    std::string address; ///< of the server, as IP:PORT
    std::string method;
    std::string path; ///< including the query string
    http_headers headers;
    std::string body;
    /// The time from call() until the complete response has arrived.
    core::duration timeout{1000};
};

/// The outcome of a call.
struct http_call_result
{
    int status = 0; ///< HTTP status; 0 without a complete response in time
    /// The server refused the connection, so it did not receive the request.
    bool is_connection_refused = false;
    std::string body;

    /// @return whether a complete response arrived, of any status
    bool has_response() const { return status != 0; }
    bool is_success() const { return status >= 200 && status < 300; }
};

/// A non-blocking HTTP client.
class http_client
{
public:
    using callback = std::function<void(http_call_result)>;

    virtual ~http_client() = default;

    /// Sends a request. Unless the connection was refused, a request without a
    /// response may have been handled by the server.
    /// @param call the request
    /// @param done called once with the outcome, never before call() returns
    virtual void call(http_call call, callback done) = 0;
};

} // namespace sequoiaroute::event
