#include "platform/http_object_store.hpp"

namespace sequoiaroute::platform {

namespace {

std::string object_path(std::string_view key)
{
    return "/objects/" + std::string(key);
}

} // namespace

http_object_store::http_object_store(http::http_client& client,
                                     service_endpoint service)
    : client_(client), service_(std::move(service))
{
}

core::status http_object_store::put(std::string_view key,
                                    std::string_view bytes)
{
    http::http_request const request{
        "PUT", object_path(key), {}, {}, std::string(bytes)};
    auto const outcome =
        client_.send(service_.address, request, service_.time_limit);
    if (core::code_of(outcome) == core::result_code::unreachable)
        return core::error{core::result_code::store_unavailable,
                           core::failure(outcome).message};
    if (!core::is_ok(outcome))
        return core::error{core::result_code::write_unknown,
                           core::failure(outcome).message};
    auto const& response = core::value(outcome);
    if (response.status == 200 || response.status == 201)
        return core::success();
    auto const code = response.status == 503
                          ? core::result_code::store_unavailable
                          : core::result_code::write_unknown;
    return unexpected_status(code, "storing an object", response);
}

core::result<std::string> http_object_store::fetch(std::string_view key)
{
    auto outcome = get(client_, service_, object_path(key));
    if (!core::is_ok(outcome))
        return core::error{core::result_code::store_unavailable,
                           core::failure(outcome).message};
    auto& response = core::value(outcome);
    if (response.status == 200)
        return std::move(response.body);
    auto const code = response.status == 404
                          ? core::result_code::not_found
                          : core::result_code::store_unavailable;
    return unexpected_status(code, "fetching an object", response);
}

} // namespace sequoiaroute::platform
