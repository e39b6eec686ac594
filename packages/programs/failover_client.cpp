#include "programs/failover_client.hpp"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

constexpr core::duration query_timeout{10'000};

/// @return the error in the body of a response, or internal_error if the body
///         has none
core::error error_from(http::http_response const& response)
{
    auto const body = core::parse_json(response.body);
    if (core::is_ok(body) && core::value(body).is_object() &&
        core::value(body).contains("code")) {
        auto const& json = core::value(body);
        return {static_cast<core::result_code>(
                    core::valid_field_or(json, "code", std::uint16_t{0})),
                core::valid_field_or(json, "message", std::string())};
    }
    return {
        core::result_code::internal_error,
        fmt::format("the entry answered with HTTP status {}", response.status)};
}

/// @return whether another entry may succeed after one failed with this code
bool should_try_next_entry(core::result_code code)
{
    using core::result_code;
    return code == result_code::unreachable || code == result_code::timed_out ||
           code == result_code::answer_incomplete ||
           code == result_code::not_ready ||
           code == result_code::stopping_not_run ||
           code == result_code::rules_unconfirmed;
}

} // namespace

failover_client::failover_client(http::http_client& client,
                                 std::vector<std::string> addresses,
                                 std::string key)
    : client_(client), addresses_(std::move(addresses)), key_(std::move(key))
{
}

core::result<http::http_response>
failover_client::send(http::http_request request, core::duration time_limit)
{
    if (!key_.empty())
        request.headers["Authorization"] = "Bearer " + key_;
    core::error last_error{core::result_code::bad_request,
                           "no entry address is given"};
    for (auto const& address : addresses_) {
        auto outcome = client_.send(address, request, time_limit);
        if (core::is_ok(outcome) && core::value(outcome).status < 400)
            return outcome;
        last_error = core::is_ok(outcome) ? error_from(core::value(outcome))
                                          : core::failure(outcome);
        if (!should_try_next_entry(last_error.code))
            break;
    }
    return last_error;
}

core::result<core::json> failover_client::query(std::string_view method,
                                                std::string path)
{
    http::http_request request;
    request.method = method;
    request.path = std::move(path);
    SEQUOIA_TRY_INTO(auto const response,
                     send(std::move(request), query_timeout));
    return core::parse_json(response.body);
}

core::result<std::string> read_key(std::string const& path)
{
    if (path.empty())
        return std::string();
    SEQUOIA_TRY_INTO(auto const content, read_file(path));
    std::istringstream words(content);
    std::string key;
    words >> key;
    return key;
}

core::result<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return core::error{core::result_code::bad_request,
                           fmt::format("{}: cannot be read", path)};
    }
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace sequoiaroute::programs
