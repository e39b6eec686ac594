#include "rows/store_clock.hpp"

#include <algorithm>

namespace sequoiaroute::rows {

void store_clock::record(core::duration store_time, core::time_point sent_at,
                         core::time_point received_at)
{
    if (store_time == core::duration(0))
        return;
    auto const least_offset = store_time - received_at.time_since_epoch();
    auto const greatest_offset = store_time - sent_at.time_since_epoch();
    auto const first_offset =
        side_ == side::early ? least_offset : greatest_offset;
    offset_ = std::clamp(offset_.value_or(first_offset), least_offset,
                         greatest_offset);
}

core::duration store_clock::time(core::time_point now) const
{
    if (!offset_)
        return core::duration(0);
    return *offset_ + now.time_since_epoch();
}

} // namespace sequoiaroute::rows
