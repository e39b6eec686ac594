#pragma once

#include "core/codec.hpp"

namespace sequoiaroute::workers {

/// @return the resident memory in KiB and the number of threads of this
///         process, from /proc/self/status, as resident_kilobytes and threads
core::json process_usage();

} // namespace sequoiaroute::workers
