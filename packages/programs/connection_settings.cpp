#include "programs/connection_settings.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <sys/resource.h>

namespace sequoiaroute::programs {

void add_connection_settings(
    std::vector<core::setting_description>& descriptions,
    std::size_t default_connections)
{
    using core::setting_type;
    descriptions.push_back({"limits", "connections", setting_type::integer,
                            fmt::format("{}", default_connections), false});
    descriptions.push_back(
        {"limits", "buffered", setting_type::size, "32MB", false});
}

event::connection_limits make_connection_limits(core::settings const& settings)
{
    event::connection_limits limits;
    limits.connections =
        static_cast<std::size_t>(settings.integer("limits.connections"));
    limits.buffered_bytes =
        static_cast<std::size_t>(settings.size_in_bytes("limits.buffered"));
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
        limits.connections =
            std::min<std::size_t>(limits.connections, descriptors.rlim_cur / 2);
    }
    return limits;
}

} // namespace sequoiaroute::programs
