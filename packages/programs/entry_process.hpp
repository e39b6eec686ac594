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

/// The settings and keys of an entry.
struct entry_configuration
{
    core::settings settings;
    std::string system_key; ///< shared by all processes of the system
    operators::operator_keys operators;
    callers::customer_keys customers;
};

/// An entry that keeps its jobs in the table: owns its components, and starts
/// and stops them in order.
class entry_process
{
public:
    /// Reads the key files and starts an entry.
    /// @param settings the entry's settings
    /// @return the running entry; bad_settings for a key file or the HTTP
    ///         address; unreachable if the peer address cannot be bound
    static core::result<std::unique_ptr<entry_process>>
    create(core::settings settings);

    /// Creates the components without starting them; use create().
    explicit entry_process(entry_configuration configuration);
    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    /// Serves until a signal arrives or a later process with the same entry id
    /// has started, then drains and stops.
    /// @param signal receives the stop signals
    void run(stop_signal const& signal);

private:
    /// Contacts the table, then starts the servers and the periodic tasks.
    core::status start();
    void add_message_handlers();
    void start_periodic_tasks();
    void stop();
    /// @return ok if the entry admits new work, or why not
    core::status readiness() const;
    /// @return the state of the entry for operators
    core::json dump() const;
    core::json dump_targets() const;
    /// @return the record under which other processes find this entry
    peers::entry_record own_record() const;
    targets::membership_options membership_options() const;
    operators::rules_service_options rules_options() const;
    operators::rules_peers rules_peers() const;
    /// @param address_key the settings key of the service's address
    platform::service_endpoint
    platform_options(std::string_view address_key) const;

    entry_configuration configuration_;
    std::string incarnation_; ///< identifies this process, not its successors
    core::system_clock clock_;
    core::counters counters_;
    core::timer_service timers_;
    http::civetweb_client http_client_;
    platform::http_table table_;
    platform::http_object_store object_store_;
    peers::nng_link_pool links_;
    targets::membership membership_;
    fleet_guarantee_check guarantee_check_;
    operators::rules_service rules_;
    platform::recovering_writer row_writer_;
    policy::retry_budget retry_budget_;
    targets::request_dispatcher dispatcher_;
    targets::request_claims claims_;
    callers::request_lookup request_lookup_;
    callers::request_service request_service_;
    policy::cell_policy placement_policy_;
    decider::job_engine job_engine_;
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
