#pragma once

#include "event/http_server.hpp"

#include <memory>
#include <string>

namespace sequoiaroute::programs {

/// Serves the metrics of this process to monitoring systems.
/// @param loop serves the sockets
/// @param address IP:PORT of the settings
/// @return the server, or internal_error if the address cannot be had
core::result<std::unique_ptr<event::http_server>>
create_metrics_server(event::event_loop& loop, std::string const& address);

} // namespace sequoiaroute::programs
