#pragma once

#include "event/http_message.hpp"

#include <cstddef>
#include <memory>
#include <span>

namespace sequoiaroute::event {

/// Parses the requests of a connection, one after another. Based on
/// Boost.Beast.
class request_parser
{
public:
    enum class state
    {
        incomplete, ///< needs further bytes
        complete,   ///< take() returns the request
        refused,    ///< not valid, or beyond a limit; nothing more is parsed
    };

    /// @param limits must outlive the parser
    explicit request_parser(http_limits const& limits);
    request_parser(request_parser const&) = delete;
    request_parser& operator=(request_parser const&) = delete;
    ~request_parser();

    /// Parses bytes until the end of a request.
    /// @param bytes everything that has been received and not consumed yet
    /// @return how many of them were consumed
    std::size_t consume(std::span<char const> bytes);

    /// @return how far the request has been parsed
    state progress() const { return state_; }

    /// @return the status with which a refused request is answered: 400 if it
    ///         is not valid, 413 or 431 if its body or its header is too large
    int refusal_status() const { return refusal_status_; }

    /// @return whether the client waits for status 100 before it sends the body
    bool is_continue_expected() const;

    /// @return whether the client sends further requests on the connection
    bool is_keep_alive() const;

    /// @return whether the response to the request has a body
    bool is_body_wanted() const;

    /// @return the memory that the body takes so far, in bytes
    std::size_t body_memory() const;

    /// @return the complete request; the parser then begins the next one
    http_request take();

private:
    struct implementation;

    void begin();
    void refuse(int status);

    http_limits const& limits_;
    state state_ = state::incomplete;
    int refusal_status_ = 0;
    std::unique_ptr<implementation> implementation_;
};

} // namespace sequoiaroute::event
