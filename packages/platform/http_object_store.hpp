#pragma once

#include "platform/object_store.hpp"
#include "platform/service_http.hpp"

namespace sequoiaroute::platform {

/// Accesses the platform's object store over HTTP.
class http_object_store final : public object_store
{
public:
    /// @param client sends the requests; must outlive this object
    /// @param service the address of the object store, and the timeout
    http_object_store(http::http_client& client, service_endpoint service);

    core::status put(std::string_view key, std::string_view bytes) override;
    core::result<std::string> fetch(std::string_view key) override;

private:
    http::http_client& client_;
    service_endpoint service_;
};

} // namespace sequoiaroute::platform
