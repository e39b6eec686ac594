#pragma once

#include "callers/customer_keys.hpp"
#include "decider/job_service.hpp"
#include "http/http_server.hpp"
#include "policy/rules_provider.hpp"

#include <atomic>
#include <cstddef>

namespace sequoiaroute::callers {

/// The HTTP API for jobs. Customers authenticate with their key and see only
/// their own jobs.
///     POST   /v1/jobs     submits a job
///     GET    /v1/jobs     lists the unfinished jobs
///     DELETE /v1/jobs     cancels the queued jobs
///     GET    /v1/jobs/ID  reads a job
///     DELETE /v1/jobs/ID  cancels a job
class job_api
{
public:
    /// Adds the routes to a server.
    /// @param server the server that handles the routes
    /// @param keys the keys of the customers; must outlive the server
    /// @param jobs performs the operations; must outlive the server
    /// @param rules decides whether new jobs are admitted; must outlive the
    ///              server
    /// @param body_limit the largest request body, in bytes; a larger one is
    ///                   refused with body_too_large
    job_api(http::http_server& server, customer_keys const& keys,
            decider::job_service& jobs, policy::rules_provider& rules,
            std::size_t body_limit = 4'000'000);
    job_api(job_api const&) = delete;
    job_api& operator=(job_api const&) = delete;

    /// Refuses new jobs from now on; the other operations stay available.
    void begin_drain() { is_draining_ = true; }

private:
    http::http_response submit(std::string const& customer,
                               http::http_request const& request);
    http::http_response status(std::string const& customer,
                               http::http_request const& request);
    http::http_response list(std::string const& customer,
                             http::http_request const& request);
    http::http_response cancel(std::string const& customer,
                               http::http_request const& request);
    http::http_response cancel_queued(std::string const& customer,
                                      http::http_request const& request);
    /// Adds a route whose handler receives the authenticated customer.
    void add_route(http::http_server& server, char const* method,
                   char const* path,
                   http::http_response (job_api::*handler)(
                       std::string const&, http::http_request const&));
    /// @return ok; stopping_not_run while draining; forbidden if the rules do
    ///         not contain the customer; or the error of the rules
    core::status check_admission(std::string const& customer) const;

    customer_keys const& keys_;
    decider::job_service& jobs_;
    policy::rules_provider& rules_;
    std::size_t body_limit_;
    std::atomic<bool> is_draining_{false};
};

} // namespace sequoiaroute::callers
