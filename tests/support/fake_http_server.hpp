#pragma once

#include "http/http_server.hpp"

#include <map>
#include <string>
#include <utility>

namespace sequoiaroute::support {

/// An HTTP server without sockets: a test calls its routes directly.
class fake_http_server final : public http::http_server
{
public:
    void route(std::string_view method, std::string_view path,
               http::http_handler handler) override
    {
        routes_[{std::string(method), std::string(path)}] = std::move(handler);
    }
    bool drain(core::duration) override { return true; }

    /// @return the response of the route with the path of the request or, if
    ///         there is none, with its parent path; else status 404
    http::http_response call(http::http_request const& request)
    {
        auto route = routes_.find({request.method, request.path});
        if (route == routes_.end()) {
            auto const parent_path =
                request.path.substr(0, request.path.rfind('/') + 1);
            route = routes_.find({request.method, parent_path});
        }
        return route == routes_.end() ? http::http_response{404, {}, {}}
                                      : route->second(request);
    }

private:
    std::map<std::pair<std::string, std::string>, http::http_handler> routes_;
};

} // namespace sequoiaroute::support
