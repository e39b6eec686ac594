#pragma once

#include "peers/link.hpp"

#include <map>
#include <string>

namespace sequoiaroute::programs {

/// Dispatches each request of another process to the handler of its message
/// kind.
class message_router
{
public:
    /// @param incarnation the incarnation of this process, sent with errors
    explicit message_router(std::string incarnation);

    /// Registers the handler of a message kind. Not thread-safe: call it only
    /// before the first message.
    /// @param kind the message kind
    /// @param handler called from several threads
    void add(std::string kind, peers::request_handler handler);

    /// @return the answer of the handler, or bad_request for a kind without one
    peers::answer_envelope handle(peers::envelope const& request) const;

private:
    std::string incarnation_;
    std::map<std::string, peers::request_handler> handlers_;
};

} // namespace sequoiaroute::programs
