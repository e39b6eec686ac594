#pragma once

#include "core/result.hpp"
#include "gateway/customer_call.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::gateway {

/// The JSON encoding of the calls and replies that entries relay to each other.

std::string encode(customer_call const& call);

/// @return the call, or bad_request if the text is invalid; a call whose job
///         cannot be decoded has no `spec`
core::result<customer_call> decode_call(std::string_view text);

std::string encode(customer_reply const& reply);

/// @return the reply, or bad_request if the text is invalid
core::result<customer_reply> decode_reply(std::string_view text);

} // namespace sequoiaroute::gateway
