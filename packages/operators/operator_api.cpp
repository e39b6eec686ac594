#include "operators/operator_api.hpp"

#include "core/log.hpp"

#include <charconv>
#include <optional>

namespace sequoiaroute::operators {

namespace {

http::http_response json_response(core::json const& body)
{
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

std::optional<std::uint64_t> parse_generation(std::string_view text)
{
    std::uint64_t generation = 0;
    auto const* const end = text.data() + text.size();
    auto const outcome = std::from_chars(text.data(), end, generation);
    if (text.empty() || outcome.ec != std::errc() || outcome.ptr != end)
        return std::nullopt;
    return generation;
}

} // namespace

operator_api::operator_api(dependencies dependencies)
    : dependencies_(std::move(dependencies))
{
}

void operator_api::add_routes(http::http_server& server)
{
    server.route("GET", "/v1/ready",
                 [this](auto const&) { return show_readiness(); });
    server.route("GET", "/v1/rules",
                 require_operator([this](auto const&, auto const&) {
                     return show_rules();
                 }));
    server.route("PUT", "/v1/rules",
                 require_operator(
                     [this](auto const& request, auto const& operator_name) {
                         return apply_rules(request, operator_name);
                     }));
    server.route("POST", "/v1/rules/check",
                 require_operator([this](auto const& request, auto const&) {
                     return check_rules(request);
                 }));
    server.route("GET", "/v1/counters",
                 require_operator([this](auto const&, auto const&) {
                     return show_counters();
                 }));
    server.route("GET", "/v1/dump",
                 require_operator([this](auto const&, auto const&) {
                     return json_response(dependencies_.dump());
                 }));
}

http::http_handler
operator_api::require_operator(operator_handler handler) const
{
    return [this, handler = std::move(handler)](
               http::http_request const& request) -> http::http_response {
        auto const operator_name =
            dependencies_.keys.find_operator(request.header("Authorization"));
        if (!operator_name) {
            return http::error_response(
                {core::result_code::unauthorized,
                 "the header Authorization must hold an "
                 "operator's key"});
        }
        return handler(request, *operator_name);
    };
}

http::http_response operator_api::show_rules() const
{
    auto const rules = dependencies_.rules.current();
    return json_response({{"generation", rules.generation},
                          {"author", rules.author},
                          {"text", rules.text}});
}

http::http_response operator_api::apply_rules(http::http_request const& request,
                                              std::string const& operator_name)
{
    auto const parameter = request.query.find("generation");
    auto const generation = parameter == request.query.end()
                                ? std::nullopt
                                : parse_generation(parameter->second);
    if (!generation) {
        return http::error_response(
            {core::result_code::bad_request,
             "the parameter generation must be the number of the generation "
             "from which the text was edited"});
    }
    auto const outcome =
        dependencies_.rules.apply(operator_name, *generation, request.body);
    if (!core::is_ok(outcome))
        return http::error_response(core::failure(outcome));
    auto const& applied = core::value(outcome);
    core::log(core::log_level::info, "rules applied",
              {{"operator", operator_name},
               {"generation", std::to_string(applied.generation)}});
    return json_response(applied);
}

http::http_response
operator_api::check_rules(http::http_request const& request) const
{
    auto const status = dependencies_.rules.check(request.body);
    if (!core::is_ok(status))
        return http::error_response(core::failure(status));
    return json_response({{"ok", true}});
}

http::http_response operator_api::show_counters() const
{
    return json_response(dependencies_.counters.values());
}

http::http_response operator_api::show_readiness() const
{
    auto const status = dependencies_.readiness();
    if (!core::is_ok(status))
        return http::error_response(core::failure(status));
    return json_response({{"ready", true}});
}

} // namespace sequoiaroute::operators
