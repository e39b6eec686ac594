#pragma once

#include "http/http_server.hpp"
#include "http/receive_watchdog.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <shared_mutex>

struct mg_connection;
struct mg_context;

namespace sequoiaroute::http {

/// An HTTP server based on CivetWeb. A connection serves one request only:
/// CivetWeb dedicates a thread to each connection, so idle persistent
/// connections would use up the threads.
class civetweb_server final : public http_server
{
public:
    explicit civetweb_server(http_server_options options);
    civetweb_server(civetweb_server const&) = delete;
    civetweb_server& operator=(civetweb_server const&) = delete;
    ~civetweb_server() override;

    /// Starts to listen; to be called once.
    /// @return ok, or bad_settings if it cannot listen on the address
    core::status start();

    void route(std::string_view method, std::string_view path,
               http_handler handler) override;
    bool drain(core::duration timeout) override;

private:
    /// Called by CivetWeb when it has received the head of a request.
    static int handle(mg_connection* connection);
    /// Called by CivetWeb when it rejects a request by itself.
    static int handle_error(mg_connection* connection, int status,
                            char const* message);

    /// Receives the body and calls the handler.
    http_response respond(mg_connection* connection);
    /// Calls the handler of the longest matching route.
    http_response dispatch(http_request const& request) const;
    /// Receives the body within the receive limit.
    /// @return ok, client_too_slow, bad_request or body_too_large
    core::status receive_body(mg_connection* connection, std::string& body);
    /// Reads the body to its end, whatever its size.
    /// @return ok, bad_request if it is incomplete, or body_too_large
    core::status read_body(mg_connection* connection, std::string& body) const;

    http_server_options options_;
    core::system_clock clock_;
    mutable std::shared_mutex routes_mutex_;
    /// Handlers by method, then by path.
    std::map<std::string, std::map<std::string, http_handler>, std::less<>>
        routes_;
    std::mutex mutex_;
    std::condition_variable no_requests_in_flight_;
    std::size_t requests_in_flight_ = 0;
    receive_watchdog watchdog_;
    mg_context* context_ = nullptr;
};

} // namespace sequoiaroute::http
