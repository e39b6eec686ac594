#pragma once

#include "platform/json_exchange.hpp"
#include "platform/object_store.hpp"

namespace sequoiaroute::platform {

/// The platform's object store, reached by HTTP.
class http_object_store final : public object_store
{
public:
    /// @param client the client, which must outlive this object
    /// @param service the object store
    http_object_store(http::http_client& client, service_endpoint service);

    core::status put(std::string_view key, std::string_view bytes) override;
    core::result<std::string> fetch(std::string_view key) override;

private:
    http::http_client& client_;
    service_endpoint service_;
};

} // namespace sequoiaroute::platform
