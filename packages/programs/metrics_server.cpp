#include "programs/metrics_server.hpp"

#include "metrics/metrics.hpp"

namespace sequoiaroute::programs {

core::result<std::unique_ptr<event::http_server>>
create_metrics_server(event::event_loop& loop, event::connection_pool& pool,
                      std::string const& address)
{
    return event::http_server::create(
        loop, pool, address, {},
        [](event::http_request const&, event::http_responder const& respond) {
            respond({200, {}, metrics::text(), "text/plain; version=0.0.4"});
        });
}

} // namespace sequoiaroute::programs
