#pragma once

#include "peers/link.hpp"
#include "platform/executor_client.hpp"
#include "platform/object_store.hpp"
#include "platform/task_runtime.hpp"
#include "workers/start_permits.hpp"

#include <memory>
#include <string>
#include <vector>

#include <gmock/gmock.h>

namespace sequoiaroute::workers {

class mock_executor : public platform::executor_client
{
public:
    MOCK_METHOD(core::result<std::string>, execute,
                (platform::execution_request const&), (override));
};

class mock_store : public platform::object_store
{
public:
    MOCK_METHOD(core::status, put, (std::string_view, std::string_view),
                (override));
    MOCK_METHOD(core::result<std::string>, fetch, (std::string_view),
                (override));
};

class mock_permits : public start_permits
{
public:
    MOCK_METHOD(core::status, acquire, (request_attempt const&), (override));
    MOCK_METHOD(core::status, record_outcome,
                (request_attempt const&, permit_outcome const&), (override));
    MOCK_METHOD(core::status, revert_to_claimed, (request_attempt const&),
                (override));
};

class mock_runtime : public platform::task_runtime
{
public:
    MOCK_METHOD(core::status, start, (platform::task_specification const&),
                (override));
    MOCK_METHOD(core::status, renew, (std::string_view, core::duration),
                (override));
    MOCK_METHOD(core::status, checkpoint, (std::string_view), (override));
    MOCK_METHOD(core::status, throttle, (std::string_view, int), (override));
    MOCK_METHOD(core::status, stop, (std::string_view), (override));
    MOCK_METHOD(core::result<std::vector<platform::task_report>>, tasks, (),
                (override));
};

class mock_link : public peers::link
{
public:
    MOCK_METHOD(core::result<peers::answer_envelope>, call,
                (std::string_view, core::json const&, core::duration),
                (override));
};

class mock_link_pool : public peers::link_pool
{
public:
    MOCK_METHOD(std::shared_ptr<peers::link>, link_to, (std::string_view),
                (override));
};

/// @return an answer with code ok and an encoded body
template <class Message>
core::result<peers::answer_envelope> ok_answer(Message const& body)
{
    return peers::answer_envelope{0, "", "peer", core::json(body)};
}

/// @return the error of a call to a peer that is down
inline core::error unreachable()
{
    return {core::result_code::unreachable, "down"};
}

} // namespace sequoiaroute::workers
