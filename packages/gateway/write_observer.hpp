#pragma once

#include "rows/row_store.hpp"

namespace sequoiaroute::gateway {

/// Learns of the rows that this entry has written for customers.
class write_observer
{
public:
    virtual ~write_observer() = default;

    /// @param written the row as it is in the store now
    /// @param is_urgent whether its job is urgent
    virtual void on_written(rows::row const& written, bool is_urgent) = 0;
};

} // namespace sequoiaroute::gateway
