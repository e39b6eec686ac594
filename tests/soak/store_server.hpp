#pragma once

#include "event/event_loop.hpp"
#include "event/http_server.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/random_source.hpp"
#include "support/memory_row_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

/// Faults of the store towards one process.
struct store_faults
{
    enum class response
    {
        normal,
        refused,   ///< status 503
        throttled, ///< status 429
        silent,    ///< nothing is done, and no response is sent
    };

    response mode = response::normal;
    core::duration delay{0}; ///< of each response
    /// That a commit is applied without a response.
    double lost_response_probability = 0;
    /// That a commit is applied seconds later, without a response.
    double late_write_probability = 0;
};

/// Serves the platform's HTTP interface to the store for one process, with its
/// own faults.
class store_server
{
public:
    /// @param loop serves the sockets and timers
    /// @param address IP:PORT
    /// @param store the rows, shared by all processes
    /// @param random decides which commits fail
    /// @return the server, or an error if it cannot listen
    static core::result<std::unique_ptr<store_server>>
    create(event::event_loop& loop, std::string const& address,
           support::memory_row_store& store, random_source& random);

    store_faults faults; ///< the faults to inject from now on
    /// Called when a commit was applied, before the response is sent.
    std::function<void(rows::transaction const&)> on_commit;

private:
    using parameters = std::map<std::string, std::string>;

    store_server(event::event_loop& loop, support::memory_row_store& store,
                 random_source& random)
        : loop_(loop), store_(store), random_(random)
    {
    }

    void serve(event::http_request const& request,
               event::http_responder const& respond);
    void commit(std::string const& body, event::http_responder const& respond);
    void read(parameters const& query, event::http_responder const& respond);
    /// Serves a long poll of the change feed.
    void poll_feed(parameters const& query,
                   event::http_responder const& respond);
    void list_parts(parameters const& query,
                    event::http_responder const& respond);
    /// Calls a function once after a delay.
    void call_later(core::duration delay, std::function<void()> call);

    event::event_loop& loop_;
    support::memory_row_store& store_;
    random_source& random_;
    event::connection_pool connections_{{}};
    std::unique_ptr<event::http_server> server_;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> timers_;
    std::uint64_t last_timer_ = 0;
};

} // namespace sequoiaroute::soak
