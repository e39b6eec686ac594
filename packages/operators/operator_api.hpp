#pragma once

#include "core/codec.hpp"
#include "core/counters.hpp"
#include "http/http_server.hpp"
#include "operators/operator_keys.hpp"
#include "operators/rules_service.hpp"

#include <functional>
#include <string>

namespace sequoiaroute::operators {

/// The HTTP API for operators: rules, counters, state dump and readiness. All
/// routes but readiness need the key of an operator.
class operator_api
{
public:
    /// The objects that the routes use.
    struct dependencies
    {
        operator_keys const& keys;
        rules_service& rules;
        core::counters& counters;
        std::function<core::json()> dump; ///< returns the state of the entry
        /// Returns ok if the entry admits new work, or why not.
        std::function<core::status()> readiness;
    };

    /// @param dependencies the objects that the routes use; they must outlive
    ///        this object
    explicit operator_api(dependencies dependencies);

    /// Adds the routes to a server.
    /// @param server must not serve requests after this object is destroyed
    void add_routes(http::http_server& server);

private:
    using operator_handler = std::function<http::http_response(
        http::http_request const&, std::string const& operator_name)>;

    /// Wraps a handler so that it is called only for requests with the key of
    /// an operator; others are answered with unauthorized.
    http::http_handler require_operator(operator_handler handler) const;
    http::http_response show_rules() const;
    http::http_response apply_rules(http::http_request const& request,
                                    std::string const& operator_name);
    http::http_response check_rules(http::http_request const& request) const;
    http::http_response show_counters() const;
    http::http_response show_readiness() const;

    dependencies dependencies_;
};

} // namespace sequoiaroute::operators
