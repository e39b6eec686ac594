#pragma once

#include "core/result.hpp"
#include "rows/row_store.hpp"

namespace sequoiaroute::rows {

/// Logs that the value of a row cannot be decoded, so that it is left out.
void log_unreadable_row(row const& unreadable, core::error const& fault);

} // namespace sequoiaroute::rows
