#pragma once

#include "callers/customer_keys.hpp"
#include "callers/job_api.hpp"
#include "callers/request_api.hpp"
#include "callers/request_service.hpp"
#include "core/clock.hpp"
#include "core/counters.hpp"
#include "core/settings.hpp"
#include "core/timer_service.hpp"
#include "decider/job_engine.hpp"
#include "http/civetweb_client.hpp"
#include "http/http_server.hpp"
#include "operators/operator_api.hpp"
#include "operators/operator_keys.hpp"
#include "operators/rules_service.hpp"
#include "peers/nng_link_pool.hpp"
#include "peers/nng_server.hpp"
#include "platform/http_object_store.hpp"
#include "platform/http_table.hpp"
#include "policy/cell_policy.hpp"
#include "programs/fleet_guarantee_check.hpp"
#include "programs/message_router.hpp"
#include "programs/stop_signal.hpp"
#include "targets/membership.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::programs {

/// What an entry reads before it starts.
struct entry_inputs
{
    core::settings settings;
    std::string system_key;
    operators::operator_keys operators;
    callers::customer_keys customers;
};

/// Wires the components of an entry, and starts and stops them in order.
class entry_process
{
public:
    /// Reads the key files and starts to serve.
    /// @param settings the entry's settings
    /// @return the running entry, or bad_settings
    static core::result<std::unique_ptr<entry_process>>
    create(core::settings settings);

    explicit entry_process(entry_inputs inputs);
    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    /// Serves until a signal arrives or a later process with the same id has
    /// started, then stops gracefully.
    void run(stop_signal const& signal);

private:
    core::status start();
    void add_message_handlers();
    void subscribe();
    void stop();
    core::status readiness() const;
    core::json dump() const;
    core::json dump_targets() const;
    peers::entry_record self() const;
    targets::membership_options membership_options() const;
    operators::rules_service_options rules_options() const;
    operators::rules_neighbours neighbours() const;
    platform::service_endpoint service(std::string_view address_key) const;

    entry_inputs inputs_;
    std::string incarnation_;
    core::system_clock clock_;
    core::counters counters_;
    core::timer_service timers_;
    http::civetweb_client client_;
    platform::http_table table_;
    platform::http_object_store objects_;
    peers::nng_link_pool links_;
    targets::membership membership_;
    fleet_guarantee_check guarantee_check_;
    operators::rules_service rules_;
    platform::recovering_writer rows_;
    policy::retry_budget retry_budget_;
    targets::request_dispatcher dispatcher_;
    targets::request_claims claims_;
    callers::request_lookup lookup_;
    callers::request_service requests_;
    policy::cell_policy placement_;
    decider::job_engine jobs_;
    operators::operator_api operator_api_;
    message_router router_;
    std::atomic<bool> is_stopping_{false};
    std::unique_ptr<http::http_server> http_server_;
    std::unique_ptr<callers::request_api> request_api_;
    std::unique_ptr<callers::job_api> job_api_;
    std::unique_ptr<peers::nng_server> peer_server_;
    std::vector<std::unique_ptr<core::timer_service::subscription>>
        subscriptions_;
};

} // namespace sequoiaroute::programs
