#include "programs/schedule_entry.hpp"

#include "advice_client.hpp"
#include "core/event_log.hpp"
#include "core/settings.hpp"
#include "customer_server.hpp"
#include "event/event_loop.hpp"
#include "event/evhttp_client.hpp"
#include "gateway/call_codec.hpp"
#include "gateway/customer_service.hpp"
#include "gateway/entry_registry.hpp"
#include "gateway/job_directory.hpp"
#include "gateway/peer_relay.hpp"
#include "jobs/lease_timing.hpp"
#include "metrics/metrics.hpp"
#include "notices/http_notices.hpp"
#include "operator_table.hpp"
#include "programs/connection_settings.hpp"
#include "programs/metrics_server.hpp"
#include "rows/monitored_store.hpp"
#include "rows/row_layout.hpp"
#include "scheduler/decider_service.hpp"
#include "store_client.hpp"

#include <csignal>

namespace sequoiaroute::programs {

namespace {

/// Delay between polls of the work table's feed on an entry that is not the
/// decider. Each answer of the store costs money, and such an entry needs the
/// table only to report the states of jobs.
constexpr core::duration follower_poll_delay{120};
/// How long the store may hold a poll of the work table's feed if there is no
/// change.
constexpr core::duration work_feed_poll_timeout{1000};
/// Minimum time for which the entry keeps serving after a stop signal. The load
/// balancer stops sending new connections after two failed readiness checks, a
/// second apart.
constexpr core::duration load_balancer_delay{3000};
/// Part of the grace period that is left for the process to exit.
constexpr core::duration exit_reserve{1200};
/// How long the store may be unreachable for the decider before another entry
/// is requested to take over. Replacing connections that were reset takes less.
constexpr core::duration takeover_delay{250};
/// Added to the promised retention of finished jobs, bounds.state_kept.
constexpr core::duration retention_margin{60'000};
/// The default of limits.connections.
constexpr std::size_t default_connections = 1024;

std::vector<core::setting_description> const& setting_descriptions()
{
    using core::setting_type;
    static auto const list = [] {
        std::vector<core::setting_description> descriptions{
            {"process", "node", setting_type::text, {}, true},
            {"listen", "customers", setting_type::address, {}, true},
            {"listen", "readiness", setting_type::address, {}, true},
            {"listen", "entries", setting_type::address, {}, true},
            {"listen", "metrics", setting_type::address, {}, true},
            {"store", "address", setting_type::address, {}, true},
            {"advice", "address", setting_type::address_list, {}, false},
            {"bounds", "lease", setting_type::time, "6s", false},
            {"bounds", "stop", setting_type::time, "1s", false},
            {"bounds", "grace", setting_type::time, "6s", false},
            {"bounds", "state_kept", setting_type::time, "120s", false},
            {"bounds", "evacuation", setting_type::time, "0s", false},
            {"bounds", "remote_factor", setting_type::decimal, "3", false},
            {"bounds", "idle_start", setting_type::time, "10s", false},
        };
        add_connection_settings(descriptions, default_connections);
        return descriptions;
    }();
    return list;
}

scheduler::scheduler_limits
make_scheduler_limits(core::settings const& settings)
{
    scheduler::scheduler_limits limits;
    jobs::lease_timing const timing{settings.time("bounds.lease"),
                                    settings.time("bounds.stop")};
    limits.lost_after = timing.lost_after();
    limits.finished_job_retention =
        settings.time("bounds.state_kept") + retention_margin;
    limits.locality.remote_factor =
        std::max(settings.decimal("bounds.remote_factor"), 1.0);
    limits.locality.idle_start_limit = settings.time("bounds.idle_start");
    return limits;
}

/// An entry that keeps its jobs in the row store. Its members are declared in
/// the order in which they depend on each other.
class schedule_entry final : private gateway::write_observer
{
public:
    schedule_entry(std::unique_ptr<event::event_loop> loop,
                   core::settings settings)
        : settings_(std::move(settings)), loop_(std::move(loop)),
          http_client_(*loop_),
          store_client_(http_client_, settings_.text("store.address")),
          store_(store_client_, *loop_), operator_table_(store_, *loop_),
          work_table_(store_, *loop_,
                      {std::string(rows::layout::work_table),
                       work_feed_poll_timeout,
                       core::duration(0),
                       {},
                       rows::layout::work_parts()},
                      [this](rows::row const& changed) {
                          job_directory_.observe(changed);
                          decider_service_.observe(changed);
                          work_table_.set_poll_delay(
                              decider_service_.is_decider()
                                  ? core::duration(0)
                                  : follower_poll_delay);
                      }),
          entry_registry_(store_, *loop_, settings_.text("listen.entries")),
          peer_relay_(entry_registry_, http_client_),
          customer_service_(store_, *loop_, operator_table_, work_table_,
                            job_directory_, peer_relay_, *this),
          notice_sender_(http_client_),
          advice_client_(http_client_, settings_.text("advice.address")),
          decider_service_(
              store_, *loop_, work_table_,
              [this] { return operator_table_.current(); }, operator_table_,
              {notice_sender_,
               [this] { return entry_registry_.other_addresses(); }},
              advice_client_,
              {settings_.text("process.node"),
               settings_.text("listen.entries"),
               make_scheduler_limits(settings_),
               {settings_.time("bounds.evacuation")}}),
          connection_pool_(make_connection_limits(settings_))
    {
    }

    /// Starts the servers and components, and serves until a signal arrives.
    /// @return ok after a graceful stop, or internal_error if an address cannot
    ///         be bound
    core::status run()
    {
        SEQUOIA_TRY_INTO(
            customer_server_,
            adapter::customer_server::create(
                *loop_, connection_pool_, settings_.text("listen.customers"),
                [this](gateway::customer_call call,
                       gateway::customer_responder respond) {
                    handle_call(std::move(call), std::move(respond));
                }));
        SEQUOIA_TRY_INTO(readiness_server_,
                         adapter::create_readiness_server(
                             *loop_, connection_pool_,
                             settings_.text("listen.readiness"), [this] {
                                 return !is_stopping_ &&
                                        customer_service_.is_ready();
                             }));
        SEQUOIA_TRY_INTO(peer_server_,
                         event::http_server::create(
                             *loop_, connection_pool_,
                             settings_.text("listen.entries"), {},
                             [this](event::http_request const& request,
                                    event::http_responder const& respond) {
                                 serve_peer(request, respond);
                             }));
        SEQUOIA_TRY_INTO(
            metrics_server_,
            create_metrics_server(*loop_, connection_pool_,
                                  settings_.text("listen.metrics")));
        auto const terminate =
            loop_->on_signal(SIGTERM, [this] { begin_stop(); });
        auto const interrupt =
            loop_->on_signal(SIGINT, [this] { begin_stop(); });
        auto const reload = loop_->on_signal(SIGHUP, [] {
            core::log_event("settings_changed",
                            {{"effect", "from the next start on"}});
        });
        store_.on_recovery([this] {
            operator_table_.restart();
            entry_registry_.restart();
            work_table_.restart();
        });
        store_.on_outage([this] {
            takeover_timer_ = loop_->after(takeover_delay, [this] {
                if (!store_.is_reachable())
                    decider_service_.request_takeover();
            });
        });
        operator_table_.start();
        entry_registry_.start();
        work_table_.start();
        decider_service_.start();
        core::log_event("process_started",
                        {{"store", settings_.text("store.address")}});
        loop_->run();
        core::log_event("process_stopped", {});
        return core::success();
    }

private:
    /// Answers a call of a customer and records its duration.
    void handle_call(gateway::customer_call call,
                     gateway::customer_responder respond)
    {
        auto const received_at = loop_->now();
        customer_service_.handle(
            std::move(call), [this, received_at, respond = std::move(respond)](
                                 gateway::customer_reply const& reply) {
                metrics::observe(metrics::duration_metric::customer_call,
                                 gateway::name(reply.outcome),
                                 loop_->now() - received_at);
                respond(reply);
            });
    }

    /// Applies a row that this entry wrote before the store's feed delivers it,
    /// and sends the row of an urgent job to the decider.
    void on_written(rows::row const& written, bool is_urgent) override
    {
        work_table_.apply_announced(written);
        if (is_urgent && !decider_service_.is_decider() &&
            !decider_service_.decider_address().empty())
            notice_sender_.send_rows(decider_service_.decider_address(),
                                     {{}, {written}});
    }

    /// Serves relayed calls and notices from other processes of the system.
    void serve_peer(event::http_request const& request,
                    event::http_responder const& respond)
    {
        notices::notice_handlers const handlers{
            [this](notices::row_notice notice) {
                for (auto& row : notice.rows)
                    work_table_.apply_announced(std::move(row));
            },
            [this](std::string const& report) {
                return decider_service_.receive_report(report);
            },
            [this] {
                if (store_.is_reachable())
                    decider_service_.take_over();
            }};
        if (!notices::serve_notice(handlers, request, respond))
            serve_relayed(request, respond);
    }

    /// Answers a customer's call that another entry relayed.
    void serve_relayed(event::http_request const& request,
                       event::http_responder const& respond)
    {
        auto call = gateway::decode_call(request.body);
        if (!core::is_ok(call))
            return respond({400, {}, "{}", "application/json"});
        customer_service_.handle_relayed(
            core::value(std::move(call)),
            [respond](gateway::customer_reply const& reply) {
                respond({200, {}, gateway::encode(reply), "application/json"});
            });
    }

    /// Starts a graceful stop: drains, releases the lease, and ends the event
    /// loop before the grace period is over.
    void begin_stop()
    {
        if (is_stopping_)
            return;
        is_stopping_ = true;
        core::log_event("stop_requested", {});
        decider_service_.stop();
        customer_server_->drain();
        auto const grace = settings_.time("bounds.grace");
        stop_timer_ =
            loop_->after(std::min(load_balancer_delay, grace - exit_reserve),
                         [this] { stop_when_idle(); });
        grace_timer_ =
            loop_->after(grace - exit_reserve, [this] { loop_->stop(); });
    }

    /// Ends the event loop as soon as no call of a customer is open.
    void stop_when_idle()
    {
        constexpr core::duration check_period{50};
        idle_timer_ = loop_->every(check_period, [this] {
            if (customer_server_->open_calls() == 0)
                loop_->stop();
        });
    }

    core::settings settings_;
    std::unique_ptr<event::event_loop> loop_;
    event::evhttp_client http_client_;
    adapter::store_client store_client_;
    rows::monitored_store store_;
    adapter::operator_table operator_table_;
    gateway::job_directory job_directory_;
    rows::table_replica work_table_;
    gateway::entry_registry entry_registry_;
    gateway::peer_relay peer_relay_;
    gateway::customer_service customer_service_;
    notices::http_notice_sender notice_sender_;
    adapter::advice_client advice_client_;
    scheduler::decider_service decider_service_;
    event::connection_pool connection_pool_;
    std::unique_ptr<adapter::customer_server> customer_server_;
    std::unique_ptr<event::http_server> readiness_server_;
    std::unique_ptr<event::http_server> peer_server_;
    std::unique_ptr<event::http_server> metrics_server_;
    std::unique_ptr<event::timer> takeover_timer_;
    std::unique_ptr<event::timer> stop_timer_;
    std::unique_ptr<event::timer> grace_timer_;
    std::unique_ptr<event::timer> idle_timer_;
    bool is_stopping_ = false;
};

} // namespace

core::status run_schedule_entry(std::string const& settings_path)
{
    std::signal(SIGPIPE, SIG_IGN);
    SEQUOIA_TRY_INTO(auto settings, core::settings::create(
                                        settings_path, setting_descriptions()));
    core::set_event_source(settings.text("process.node"));
    SEQUOIA_TRY_INTO(auto loop, event::event_loop::create());
    schedule_entry entry(std::move(loop), std::move(settings));
    return entry.run();
}

} // namespace sequoiaroute::programs
