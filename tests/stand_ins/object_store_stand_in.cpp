#include "stand_ins/object_store_stand_in.hpp"

#include "core/identifier.hpp"

namespace sequoiaroute::stand_ins {

namespace {

constexpr std::string_view path_prefix = "/objects/";

std::string object_key(http::http_request const& request)
{
    return request.path.substr(path_prefix.size());
}

} // namespace

void object_store_stand_in::serve(http::http_server& server)
{
    server.route("PUT", path_prefix, [this](auto const& request) {
        return put(object_key(request), request.body);
    });
    server.route("GET", path_prefix, [this](auto const& request) {
        return fetch(object_key(request));
    });
}

http::http_response object_store_stand_in::put(std::string const& key,
                                               std::string const& bytes)
{
    control_.apply_delay("/objects");
    if (control_.fault_number("/objects/down") != 0)
        return {503, {}, ""};
    if (control_.consume_fault("/objects/drop_before"))
        return {0, {}, ""};
    {
        std::lock_guard const lock(mutex_);
        objects_[key] = bytes;
    }
    control_.event_journal().record("object_written",
                                    {{"key", key},
                                     {"bytes", bytes.size()},
                                     {"digest", core::digest(bytes)}});
    if (control_.consume_fault("/objects/lose_answers"))
        return {0, {}, ""};
    return {200, {}, ""};
}

http::http_response object_store_stand_in::fetch(std::string const& key)
{
    control_.apply_delay("/objects");
    if (control_.fault_number("/objects/down") != 0)
        return {503, {}, ""};
    std::lock_guard const lock(mutex_);
    auto const object = objects_.find(key);
    if (object == objects_.end())
        return {404, {}, ""};
    return {200, {}, object->second};
}

} // namespace sequoiaroute::stand_ins
