#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/result.hpp"
#include "peers/messages.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiaroute::peers {

/// A request/reply link to another entry or agent. Several threads can make
/// calls concurrently; their answers arrive in any order.
class link
{
public:
    virtual ~link() = default;

    /// Sends a request and blocks until its answer arrives.
    /// @param kind a name of message_kind
    /// @param body the request type of that kind as JSON
    /// @param time_limit the timeout of the call
    /// @return the answer, whose code can be an error of the other process;
    ///         unreachable if the request was definitely not sent; timed_out
    ///         if the other process may have received it; bad_request if the
    ///         answer cannot be decoded
    virtual core::result<answer_envelope> call(std::string_view kind,
                                               core::json const& body,
                                               core::duration time_limit) = 0;
};

/// Creates links on demand and keeps one per address.
class link_pool
{
public:
    virtual ~link_pool() = default;

    /// @param address the IP:PORT on which the other process listens
    /// @return the link to that address, shared by all callers; it connects
    ///         on its first call
    virtual std::shared_ptr<link> link_to(std::string_view address) = 0;
};

/// Handles a request from another process and returns the answer. Called
/// concurrently from several threads.
using request_handler = std::function<answer_envelope(envelope const&)>;

} // namespace sequoiaroute::peers
