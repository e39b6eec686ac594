#pragma once

#include "platform/service_http.hpp"
#include "platform/table.hpp"

namespace sequoiaroute::platform {

/// Accesses the platform's table service over HTTP.
class http_table final : public table
{
public:
    /// @param client sends the requests; must outlive this object
    /// @param service the address of the table service, and the timeout
    http_table(http::http_client& client, service_endpoint service);

    core::result<row> read(std::string_view key) override;
    core::result<std::vector<row>> scan(std::string_view prefix) override;
    core::status commit(std::span<row_condition const> conditions,
                        std::span<row_write const> writes) override;

private:
    /// Sends a GET request with one query parameter.
    /// @return the JSON document of the response; store_unavailable; timed_out
    core::result<core::json> get_json(std::string_view path,
                                      std::string parameter,
                                      std::string_view argument);

    http::http_client& client_;
    service_endpoint service_;
};

} // namespace sequoiaroute::platform
