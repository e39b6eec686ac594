#pragma once

#include "core/result.hpp"
#include "rows/row_store.hpp"

namespace sequoiaroute::rows {

/// Logs a row that is skipped because its value cannot be decoded.
/// @param unreadable the row
/// @param fault the error from decoding its value
void log_unreadable_row(row const& unreadable, core::error const& fault);

} // namespace sequoiaroute::rows
