#include "rows/unreadable_row.hpp"

#include "core/event_log.hpp"

namespace sequoiaroute::rows {

void log_unreadable_row(row const& unreadable, core::error const& fault)
{
    core::log_event("row_unreadable",
                    {{"key", unreadable.key.key}, {"fault", fault.message}});
}

} // namespace sequoiaroute::rows
