#pragma once

#include "core/result.hpp"
#include "placement/worker_speed.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::scheduler {

// Encoding of the row that keeps the estimates of worker speed over a takeover.

std::string encode(placement::worker_speed::estimates const& estimates);

/// @return the estimates; bad_request with the faulty field if the text is not
///         that of such a row
core::result<placement::worker_speed::estimates>
decode_worker_speeds(std::string_view text);

} // namespace sequoiaroute::scheduler
