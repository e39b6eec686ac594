#include "event/request_parser.hpp"

#include <charconv>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>

namespace sequoiaroute::event {

namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr int bad_request = 400;
constexpr int content_too_large = 413;
constexpr int header_too_large = 431;

/// A body that takes memory only for the bytes that were received. The body
/// types of the library reserve the announced length.
struct received_body
{
    using value_type = std::string;

    static std::uint64_t size(value_type const& body) { return body.size(); }

    class reader
    {
    public:
        template <bool is_request, class Fields>
        reader(beast_http::header<is_request, Fields> const&, value_type& body)
            : body_(body)
        {
        }

        void init(boost::optional<std::uint64_t> const&, error_code& error)
        {
            error = {};
        }

        template <class ConstBufferSequence>
        std::size_t put(ConstBufferSequence const& buffers, error_code& error)
        {
            error = {};
            std::size_t count = 0;
            for (auto const buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<char const*>(buffer.data()),
                             buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

using beast_parser = beast_http::request_parser<received_body>;

std::string to_text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

/// Parses a number of milliseconds.
/// @return the time limit; 0 if the text is not a number
core::duration parse_time_limit(std::string const& text)
{
    std::int64_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return core::duration(milliseconds);
}

int status_of(error_code const& error)
{
    if (error == beast_http::error::body_limit)
        return content_too_large;
    if (error == beast_http::error::header_limit)
        return header_too_large;
    return bad_request;
}

} // namespace

struct request_parser::implementation
{
    beast_parser parser;
};

request_parser::request_parser(http_limits const& limits) : limits_(limits)
{
    begin();
}

request_parser::~request_parser() = default;

void request_parser::begin()
{
    state_ = state::incomplete;
    implementation_ = std::make_unique<implementation>();
    auto& parser = implementation_->parser;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser.body_limit(limits_.body_bytes);
}

void request_parser::refuse(int status)
{
    state_ = state::refused;
    refusal_status_ = status;
}

std::size_t request_parser::consume(std::span<char const> bytes)
{
    auto& parser = implementation_->parser;
    std::size_t consumed = 0;
    while (state_ == state::incomplete && consumed < bytes.size()) {
        auto const rest = bytes.subspan(consumed);
        error_code error;
        auto const count = parser.put(
            boost::asio::const_buffer(rest.data(), rest.size()), error);
        consumed += count;
        if (error && error != beast_http::error::need_more)
            refuse(status_of(error));
        else if (parser.is_done())
            state_ = state::complete;
        else if (count == 0)
            break;
    }
    return consumed;
}

bool request_parser::is_continue_expected() const
{
    auto const& parser = implementation_->parser;
    return state_ == state::incomplete && parser.is_header_done() &&
           boost::beast::iequals(parser.get()[beast_http::field::expect],
                                 "100-continue");
}

bool request_parser::is_keep_alive() const
{
    auto const& request = implementation_->parser.get();
    constexpr unsigned http_1_1 = 11;
    return state_ == state::complete && request.version() >= http_1_1 &&
           request.keep_alive();
}

bool request_parser::is_body_wanted() const
{
    return implementation_->parser.get().method() != beast_http::verb::head;
}

std::size_t request_parser::body_memory() const
{
    return implementation_->parser.get().body().capacity();
}

http_request request_parser::take()
{
    auto received = implementation_->parser.release();
    http_request request;
    request.method = to_text(received.method_string());
    auto const target = to_text(received.target());
    auto const query_mark = target.find('?');
    request.path = target.substr(0, query_mark);
    if (query_mark != std::string::npos)
        request.query = target.substr(query_mark + 1);
    for (auto const& name : limits_.kept_headers)
        request.headers.emplace_back(name, to_text(received[name]));
    auto const host = to_text(received[beast_http::field::host]);
    request.host = host.substr(0, host.find(':'));
    request.authorization = to_text(received[beast_http::field::authorization]);
    if (!limits_.time_limit_header.empty()) {
        request.time_limit =
            parse_time_limit(to_text(received[limits_.time_limit_header]));
    }
    request.body = std::move(received.body());
    begin();
    return request;
}

} // namespace sequoiaroute::event
