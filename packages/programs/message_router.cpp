#include "programs/message_router.hpp"

#include <utility>

namespace sequoiaroute::programs {

message_router::message_router(std::string incarnation)
    : incarnation_(std::move(incarnation))
{
}

void message_router::add(std::string kind, peers::request_handler handler)
{
    handlers_.emplace(std::move(kind), std::move(handler));
}

peers::answer_envelope
message_router::handle(peers::envelope const& request) const
{
    auto const handler = handlers_.find(request.kind);
    if (handler == handlers_.end()) {
        return {static_cast<std::uint16_t>(core::result_code::bad_request),
                "an entry does not handle messages of kind " + request.kind,
                incarnation_, nullptr};
    }
    return handler->second(request);
}

} // namespace sequoiaroute::programs
