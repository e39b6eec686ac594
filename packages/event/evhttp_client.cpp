#include "event/evhttp_client.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>

namespace sequoiaroute::event {

namespace {

/// Bounds the descriptors that one server can take; more calls wait.
constexpr std::size_t connections_per_address = 24;
constexpr std::size_t kept_idle_connections = 6;

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

std::pair<std::string, std::uint16_t> split_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1,
                        address.data() + address.size(), port);
    }
    return {address.substr(0, colon), port};
}

std::string take_body(evhttp_request* request)
{
    auto* const buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

} // namespace

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

struct evhttp_client::exchange
{
    evhttp_client& owner;
    http_call call;
    callback done;
    std::unique_ptr<timer> timeout;
    std::unique_ptr<connection> carrier;
    bool is_started = false;

    static void on_answer(evhttp_request* request, void* argument)
    {
        auto* const self = static_cast<exchange*>(argument);
        http_call_result reply;
        if (request != nullptr)
            reply.status = evhttp_request_get_response_code(request);
        if (reply.has_response())
            reply.body = take_body(request);
        else
            // Without a connection, libevent hands back the unsent request.
            reply.is_connection_refused = request != nullptr;
        self->owner.finish(self, std::move(reply));
    }
};

evhttp_client::evhttp_client(event_loop& loop) : loop_(loop) {}

evhttp_client::~evhttp_client() = default;

void evhttp_client::call(http_call call, callback done)
{
    auto next = std::unique_ptr<exchange>(new exchange{
        *this, std::move(call), std::move(done), nullptr, nullptr, false});
    auto* const key = next.get();
    next->timeout =
        loop_.after(next->call.timeout, [this, key] { expire(key); });
    auto& target = pools_[next->call.address];
    if (target.busy_count >= connections_per_address) {
        target.waiting.push_back(std::move(next));
        return;
    }
    start(std::move(next));
}

void evhttp_client::start(std::unique_ptr<exchange> next)
{
    auto& target = pools_[next->call.address];
    auto const [host, port] = split_address(next->call.address);
    if (target.idle.empty()) {
        next->carrier = std::make_unique<connection>(evhttp_connection_base_new(
            loop_.base(), nullptr, host.c_str(), port));
    } else {
        next->carrier = std::move(target.idle.back());
        target.idle.pop_back();
    }
    ++target.busy_count;
    next->is_started = true;
    auto* const self = next.get();
    active_.emplace(self, std::move(next));
    auto* const request = evhttp_request_new(&exchange::on_answer, self);
    auto* const headers = evhttp_request_get_output_headers(request);
    for (auto const& [name, text] : self->call.headers)
        evhttp_add_header(headers, name.c_str(), text.c_str());
    if (evhttp_find_header(headers, "Host") == nullptr)
        evhttp_add_header(headers, "Host", self->call.address.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 self->call.body.data(), self->call.body.size());
    // A failure is reported through the callback, so the status adds nothing.
    evhttp_make_request(self->carrier->handle, request,
                        command_of(self->call.method), self->call.path.c_str());
}

void evhttp_client::expire(exchange* exchange)
{
    auto& target = pools_[exchange->call.address];
    if (exchange->is_started) {
        // Closing the connection drops the request without its callback.
        exchange->carrier.reset();
        finish(exchange, {});
        return;
    }
    for (auto entry = target.waiting.begin(); entry != target.waiting.end();
         ++entry) {
        if (entry->get() != exchange)
            continue;
        auto const expired = std::move(*entry);
        target.waiting.erase(entry);
        expired->done({});
        return;
    }
}

void evhttp_client::finish(exchange* exchange, http_call_result reply)
{
    auto const found = active_.find(exchange);
    if (found == active_.end())
        return;
    auto const finished = std::move(found->second);
    active_.erase(found);
    finished->timeout.reset();
    release(std::move(finished->carrier), finished->call.address);
    finished->done(std::move(reply));
}

void evhttp_client::release(std::unique_ptr<connection> connection,
                            std::string const& address)
{
    auto& target = pools_[address];
    --target.busy_count;
    if (connection != nullptr)
        target.idle.push_back(std::move(connection));
    if (!target.waiting.empty()) {
        auto next = std::move(target.waiting.front());
        target.waiting.pop_front();
        start(std::move(next));
    }
    if (target.idle.size() > kept_idle_connections + 1)
        target.idle.erase(target.idle.begin());
}

} // namespace sequoiaroute::event
