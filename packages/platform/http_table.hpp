#pragma once

#include "platform/json_exchange.hpp"
#include "platform/table.hpp"

namespace sequoiaroute::platform {

/// The platform's table service, reached by HTTP.
class http_table final : public table
{
public:
    /// @param client the client, which must outlive this object
    /// @param service the table service
    http_table(http::http_client& client, service_endpoint service);

    core::result<row> read(std::string_view key) override;
    core::result<std::vector<row>> scan(std::string_view prefix) override;
    core::status commit(std::span<row_condition const> conditions,
                        std::span<row_write const> writes) override;

private:
    core::result<core::json> query(std::string_view path, std::string name,
                                   std::string_view text);

    http::http_client& client_;
    service_endpoint service_;
};

} // namespace sequoiaroute::platform
