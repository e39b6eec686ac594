#pragma once

#include "core/result.hpp"
#include "gateway/customer_call.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::gateway {

/// Encode and decode calls and replies between entries. The decoders return
/// bad_request for a text that is not valid.

std::string encode(customer_call const& call);
core::result<customer_call> decode_call(std::string_view text);

std::string encode(customer_reply const& reply);
core::result<customer_reply> decode_reply(std::string_view text);

} // namespace sequoiaroute::gateway
