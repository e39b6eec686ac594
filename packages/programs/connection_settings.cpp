#include "programs/connection_settings.hpp"

namespace sequoiaroute::programs {

void add_connection_settings(
    std::vector<core::setting_description>& descriptions)
{
    using core::setting_type;
    descriptions.push_back(
        {"limits", "buffered", setting_type::size, "32MB", false});
}

event::connection_limits make_connection_limits(core::settings const& settings)
{
    event::connection_limits limits;
    limits.buffered_bytes =
        static_cast<std::size_t>(settings.size_in_bytes("limits.buffered"));
    return limits;
}

} // namespace sequoiaroute::programs
