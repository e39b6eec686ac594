#pragma once

#include "event/http_server.hpp"

#include <memory>
#include <string>

namespace sequoiaroute::programs {

/// Starts an HTTP server that answers every request with the metrics of this
/// process in the Prometheus text format.
/// @param loop runs the server; must outlive it
/// @param pool the connections of the process; must outlive the server
/// @param address IP:PORT to listen on
/// @return the server, or internal_error if the address cannot be bound
core::result<std::unique_ptr<event::http_server>>
create_metrics_server(event::event_loop& loop, event::connection_pool& pool,
                      std::string const& address);

} // namespace sequoiaroute::programs
