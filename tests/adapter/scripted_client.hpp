#pragma once

#include "event/http_client.hpp"

#include <vector>

namespace sequoiaroute::adapter {

/// Replies to each call at once with the reply that the test has set, and
/// records the calls.
class scripted_client final : public event::http_client
{
public:
    void call(event::http_call call, callback done) override
    {
        calls.push_back(std::move(call));
        done(reply);
    }

    event::http_call_result reply;
    std::vector<event::http_call> calls;
};

} // namespace sequoiaroute::adapter
