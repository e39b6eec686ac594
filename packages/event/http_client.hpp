#pragma once

#include "core/clock.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::event {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// One call to a server.
struct http_call
{
    std::string address; ///< IP:PORT
    std::string method;
    std::string path; ///< with its query
    http_headers headers;
    std::string body;
    core::duration timeout{1000}; ///< from now to the whole answer
};

/// How a call went.
struct http_call_result
{
    int status = 0; ///< 0 if no whole answer arrived in time
    /// The server refused the connection, so it saw nothing of the call.
    bool is_connection_refused = false;
    std::string body;

    bool has_response() const { return status != 0; }
    bool is_success() const { return status >= 200 && status < 300; }
};

/// Calls HTTP servers without blocking.
class http_client
{
public:
    using callback = std::function<void(http_call_result)>;

    virtual ~http_client() = default;

    /// Sends a call. A call without an answer may have been carried out unless
    /// the connection was refused.
    /// @param call the call
    /// @param done receives the reply once, never before call() returns
    virtual void call(http_call call, callback done) = 0;
};

} // namespace sequoiaroute::event
