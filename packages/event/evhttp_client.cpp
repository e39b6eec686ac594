#include "event/evhttp_client.hpp"

#include "core/address.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace sequoiaroute::event {

namespace {

/// Limits the descriptors that connections to one server use. Further calls
/// wait for a connection.
constexpr std::size_t max_connections_per_address = 24;
/// Idle connections kept per address, besides the one that was released last.
constexpr std::size_t kept_idle_connections = 6;

/// @return the method as libevent names it; GET for one that is not listed
evhttp_cmd_type command_of(std::string const& method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_GET;
}

std::string read_body(evhttp_request* request)
{
    auto* const buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

} // namespace

/// Owns a connection of libevent.
struct evhttp_client::connection
{
    explicit connection(evhttp_connection* connection_handle)
        : handle(connection_handle)
    {
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection() { evhttp_connection_free(handle); }

    evhttp_connection* handle;
};

/// A request and its response.
struct evhttp_client::exchange
{
    evhttp_client& owner;
    http_call call;
    callback done;
    std::unique_ptr<timer> timeout;
    std::unique_ptr<connection> used_connection;
    bool is_started = false;

    static void on_response(evhttp_request* request, void* argument)
    {
        auto* const self = static_cast<exchange*>(argument);
        http_call_result result;
        if (request != nullptr)
            result.status = evhttp_request_get_response_code(request);
        if (result.has_response())
            result.body = read_body(request);
        else
            // If connecting failed, libevent passes the unsent request.
            result.is_connection_refused = request != nullptr;
        self->owner.finish(self, std::move(result));
    }
};

evhttp_client::evhttp_client(event_loop& loop) : loop_(loop) {}

evhttp_client::~evhttp_client() = default;

void evhttp_client::call(http_call call, callback done)
{
    auto pending_exchange = std::unique_ptr<exchange>(new exchange{
        *this, std::move(call), std::move(done), nullptr, nullptr, false});
    auto* const raw_exchange = pending_exchange.get();
    if (!core::parse_address(pending_exchange->call.address))
        return reject(std::move(pending_exchange));
    pending_exchange->timeout =
        loop_.after(pending_exchange->call.timeout,
                    [this, raw_exchange] { expire(raw_exchange); });
    auto& pool = pools_[pending_exchange->call.address];
    if (pool.busy_count >= max_connections_per_address) {
        pool.waiting.push_back(std::move(pending_exchange));
        return;
    }
    start(std::move(pending_exchange));
}

/// Ends a call to something that is not an address, which another process may
/// have published. libevent would look it up as the name of a host, and block.
void evhttp_client::reject(std::unique_ptr<exchange> invalid_exchange)
{
    auto* const self = invalid_exchange.get();
    started_exchanges_.emplace(self, std::move(invalid_exchange));
    self->timeout = loop_.after(core::duration(0), [this, self] {
        auto const found = started_exchanges_.find(self);
        auto const rejected = std::move(found->second);
        started_exchanges_.erase(found);
        http_call_result result;
        result.is_connection_refused = true;
        rejected->done(std::move(result));
    });
}

void evhttp_client::start(std::unique_ptr<exchange> pending_exchange)
{
    auto& pool = pools_[pending_exchange->call.address];
    auto const [host, port] =
        core::parse_address(pending_exchange->call.address)
            .value_or(core::socket_address{});
    if (pool.idle.empty()) {
        pending_exchange->used_connection =
            std::make_unique<connection>(evhttp_connection_base_new(
                loop_.base(), nullptr, host.c_str(), port));
    } else {
        pending_exchange->used_connection = std::move(pool.idle.back());
        pool.idle.pop_back();
    }
    ++pool.busy_count;
    pending_exchange->is_started = true;
    auto* const self = pending_exchange.get();
    started_exchanges_.emplace(self, std::move(pending_exchange));
    auto* const request = evhttp_request_new(&exchange::on_response, self);
    auto* const headers = evhttp_request_get_output_headers(request);
    for (auto const& [name, text] : self->call.headers)
        evhttp_add_header(headers, name.c_str(), text.c_str());
    if (evhttp_find_header(headers, "Host") == nullptr)
        evhttp_add_header(headers, "Host", self->call.address.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 self->call.body.data(), self->call.body.size());
    // The return value is ignored, since the callback reports a failure too.
    evhttp_make_request(self->used_connection->handle, request,
                        command_of(self->call.method), self->call.path.c_str());
}

void evhttp_client::expire(exchange* exchange)
{
    auto& pool = pools_[exchange->call.address];
    if (exchange->is_started) {
        // Closing the connection cancels the request, without a call of
        // on_response().
        exchange->used_connection.reset();
        finish(exchange, {});
        return;
    }
    for (auto position = pool.waiting.begin(); position != pool.waiting.end();
         ++position) {
        if (position->get() != exchange)
            continue;
        auto const expired = std::move(*position);
        pool.waiting.erase(position);
        expired->done({});
        return;
    }
}

void evhttp_client::finish(exchange* exchange, http_call_result result)
{
    auto const found = started_exchanges_.find(exchange);
    if (found == started_exchanges_.end())
        return;
    auto const finished = std::move(found->second);
    started_exchanges_.erase(found);
    finished->timeout.reset();
    release(std::move(finished->used_connection), finished->call.address);
    finished->done(std::move(result));
}

void evhttp_client::release(std::unique_ptr<connection> connection,
                            std::string const& address)
{
    auto& pool = pools_[address];
    --pool.busy_count;
    if (connection != nullptr)
        pool.idle.push_back(std::move(connection));
    if (!pool.waiting.empty()) {
        auto pending_exchange = std::move(pool.waiting.front());
        pool.waiting.pop_front();
        start(std::move(pending_exchange));
    }
    if (pool.idle.size() > kept_idle_connections + 1)
        pool.idle.erase(pool.idle.begin());
}

} // namespace sequoiaroute::event
