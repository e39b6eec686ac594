#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace review {

/// A request that a server of this program has received.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string header(std::string const& name) const;
    std::string parameter(std::string const& name) const;
};

struct http_response
{
    int status = 200;
    std::string body = "{}";
};

/// The result of a call; the status is 0 without a whole response.
struct http_result
{
    int status = 0;
    std::string body;
};

/// Calls a server over a connection of its own.
/// @param address IP:PORT
/// @param timeout_ms how long to wait for the connection and the response
http_result call_http(std::string const& address, std::string const& method,
                      std::string const& target,
                      std::map<std::string, std::string> const& headers,
                      std::string const& body, int timeout_ms);

/// An HTTP/1.1 server with a thread for each connection.
class http_server
{
public:
    /// Answers a request. Without a response, the connection stays open and
    /// silent until one side closes it.
    using handler =
        std::function<std::optional<http_response>(http_request const&)>;

    /// @param address IP:PORT
    /// @throws std::runtime_error if it cannot listen
    http_server(std::string const& address, handler handle);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    /// Closes all connections and waits for their threads.
    ~http_server();

private:
    struct connection
    {
        int descriptor = -1;
        std::thread thread;
        bool is_done = false;
    };

    void accept_connections();
    void serve(connection& client);

    handler handle_;
    int listener_ = -1;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    std::list<connection> connections_;
    std::thread acceptor_;
};

} // namespace review
