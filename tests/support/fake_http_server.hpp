#pragma once

#include "http/http_server.hpp"

#include <map>
#include <string>
#include <utility>

namespace sequoiaroute::support {

/// Calls the routes that were added, without a socket.
class fake_http_server final : public http::http_server
{
public:
    void route(std::string_view method, std::string_view path,
               http::http_handler handler) override
    {
        routes_[{std::string(method), std::string(path)}] = std::move(handler);
    }
    bool drain(core::duration) override { return true; }

    http::http_response call(http::http_request const& request)
    {
        auto route = routes_.find({request.method, request.path});
        if (route == routes_.end()) {
            auto const folder =
                request.path.substr(0, request.path.rfind('/') + 1);
            route = routes_.find({request.method, folder});
        }
        return route == routes_.end() ? http::http_response{404, {}, {}}
                                      : route->second(request);
    }

private:
    std::map<std::pair<std::string, std::string>, http::http_handler> routes_;
};

} // namespace sequoiaroute::support
