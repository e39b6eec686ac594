#pragma once

#include "event/event_loop.hpp"
#include "event/http_client.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::event {

/// HTTP client of libevent with a pool of kept connections for each address.
/// A connection whose call timed out is closed, because its late answer must
/// not be taken for that of the next call.
class evhttp_client final : public http_client
{
public:
    explicit evhttp_client(event_loop& loop);
    ~evhttp_client() override;

    void call(http_call call, callback done) override;

private:
    struct exchange;
    struct connection;
    struct pool
    {
        std::vector<std::unique_ptr<connection>> idle;
        std::size_t busy_count = 0;
        std::deque<std::unique_ptr<exchange>> waiting;
    };

    void start(std::unique_ptr<exchange> exchange);
    void expire(exchange* exchange);
    void finish(exchange* exchange, http_call_result reply);
    void release(std::unique_ptr<connection> connection,
                 std::string const& address);

    event_loop& loop_;
    std::map<std::string, pool> pools_;
    std::map<exchange*, std::unique_ptr<exchange>> active_;
};

} // namespace sequoiaroute::event
