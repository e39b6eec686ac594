#pragma once

#include "core/codec.hpp"
#include "core/result.hpp"

#include <memory>
#include <span>
#include <utility>

#include <nng/nng.h>

namespace sequoiaroute::peers {

/// Owns an nng socket. The destructor closes it.
class socket_handle
{
public:
    explicit socket_handle(nng_socket socket) : socket_(socket) {}
    socket_handle(socket_handle const&) = delete;
    socket_handle& operator=(socket_handle const&) = delete;
    ~socket_handle() { nng_close(socket_); }

    nng_socket native_handle() const { return socket_; }

private:
    nng_socket socket_;
};

/// Owns an nng context, which carries one request and its answer at a time. If
/// the socket is closed, none is opened and is_open() returns false.
class context_handle
{
public:
    explicit context_handle(nng_socket socket)
        : is_open_(nng_ctx_open(&context_, socket) == 0)
    {
    }
    context_handle(context_handle const&) = delete;
    context_handle& operator=(context_handle const&) = delete;
    ~context_handle()
    {
        if (is_open_)
            nng_ctx_close(context_);
    }

    bool is_open() const { return is_open_; }
    nng_ctx native_handle() const { return context_; }

private:
    nng_ctx context_ = NNG_CTX_INITIALIZER;
    bool is_open_;
};

/// Owns an nng asynchronous operation (nng_aio). The destructor aborts the
/// operation and blocks until its callback has returned.
class operation_handle
{
public:
    /// @param callback called on a thread of nng when the operation completes;
    ///        nullptr for operations that are waited for
    /// @param argument passed to the callback
    explicit operation_handle(void (*callback)(void*) = nullptr,
                              void* argument = nullptr)
    {
        // nng_aio_alloc fails only if memory is exhausted.
        if (nng_aio_alloc(&operation_, callback, argument) != 0)
            throw std::bad_alloc();
    }
    operation_handle(operation_handle const&) = delete;
    operation_handle& operator=(operation_handle const&) = delete;
    ~operation_handle()
    {
        nng_aio_stop(operation_);
        nng_aio_free(operation_);
    }

    nng_aio* native_handle() const { return operation_; }

private:
    nng_aio* operation_ = nullptr;
};

struct message_deleter
{
    void operator()(nng_msg* message) const { nng_msg_free(message); }
};

/// Owns an nng message.
using message_handle = std::unique_ptr<nng_msg, message_deleter>;

/// Encodes an object as the body of an nng message.
/// @tparam Content a type that converts to core::json
template <class Content>
message_handle encode_message(Content const& content)
{
    auto const bytes = core::encode(core::json(content));
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0 ||
        nng_msg_append(message, bytes.data(), bytes.size()) != 0)
        throw std::bad_alloc();
    return message_handle(message);
}

/// Decodes the body of a received nng message.
/// @tparam Content a type that converts from core::json
/// @param message the message, which stays with the caller
/// @return the object; bad_request if the body is malformed
template <class Content>
core::result<Content> decode_message(nng_msg* message)
{
    auto const* const data =
        static_cast<std::uint8_t const*>(nng_msg_body(message));
    SEQUOIA_TRY_INTO(auto const document,
                     core::decode(std::span(data, nng_msg_len(message))));
    return core::message_from<Content>(document);
}

} // namespace sequoiaroute::peers
