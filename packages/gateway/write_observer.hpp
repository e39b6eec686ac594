#pragma once

#include "rows/row_store.hpp"

namespace sequoiaroute::gateway {

/// Is notified of the rows that this entry has written for customers.
class write_observer
{
public:
    virtual ~write_observer() = default;

    /// @param written the row as it has been stored
    /// @param is_urgent whether the row belongs to an urgent job
    virtual void on_written(rows::row const& written, bool is_urgent) = 0;
};

} // namespace sequoiaroute::gateway
