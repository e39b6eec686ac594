#pragma once

#include "event/event_loop.hpp"
#include "event/http_server.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/random_source.hpp"
#include "support/memory_row_store.hpp"

#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

/// How the store treats one process.
struct store_faults
{
    enum class answer
    {
        normal,
        refused, ///< 503
        silent,  ///< nothing is done, no answer
    };

    answer mode = answer::normal;
    core::duration delay{0}; ///< before each answer
    double lost_answers = 0; ///< share of writes done without an answer
    double late_writes = 0;  ///< share of writes done seconds later
};

/// The users' platform's store as one process of the system sees it.
class store_server
{
public:
    /// @param loop serves the sockets
    /// @param address IP:PORT
    /// @param store the rows, shared by all processes
    /// @param random decides which calls are disturbed
    static core::result<std::unique_ptr<store_server>>
    create(event::event_loop& loop, std::string const& address,
           support::memory_row_store& store, random_source& random);

    store_faults faults;

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
    void follow(parameters const& query, event::http_responder const& respond);
    void list_parts(parameters const& query,
                    event::http_responder const& respond);
    void later(core::duration delay, std::function<void()> call);

    event::event_loop& loop_;
    support::memory_row_store& store_;
    random_source& random_;
    std::unique_ptr<event::http_server> server_;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> timers_;
    std::uint64_t last_timer_ = 0;
};

} // namespace sequoiaroute::soak
