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
#include "programs/metrics_server.hpp"
#include "rows/monitored_store.hpp"
#include "rows/row_layout.hpp"
#include "rules_decoder.hpp"
#include "scheduler/decider_service.hpp"
#include "store_client.hpp"

#include <csignal>

namespace sequoiaroute::programs {

namespace {

/// Each answer of the store is paid for. An entry that does not decide needs
/// the work table only to tell the states of jobs.
constexpr core::duration follower_pause{120};
/// How long the work table's feed may be held by the store.
constexpr core::duration work_feed_wait{1000};
/// The balancer needs two failed readiness checks, a second apart, to send no
/// more connections here; the process serves until then.
constexpr core::duration balancer_delay{3000};
/// What is left of the grace period when the process ends.
constexpr core::duration exit_reserve{1200};
/// How long the store may refuse the decider before another entry is asked to
/// take over. Connections that were reset are replaced sooner.
constexpr core::duration takeover_patience{250};
/// How much longer than promised the state of a finished job is kept.
constexpr core::duration retention_slack{60'000};

std::vector<core::setting_description> const& descriptions()
{
    using core::setting_type;
    static std::vector<core::setting_description> const list{
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
    };
    return list;
}

scheduler::scheduler_limits limits_from(core::settings const& settings)
{
    scheduler::scheduler_limits limits;
    jobs::lease_timing const timing{settings.time("bounds.lease"),
                                    settings.time("bounds.stop")};
    limits.lost_after = timing.lost_after();
    limits.finished_job_retention =
        settings.time("bounds.state_kept") + retention_slack;
    return limits;
}

/// The parts of an entry, in the order in which they depend on each other.
class schedule_entry final : private gateway::write_observer
{
public:
    schedule_entry(std::unique_ptr<event::event_loop> loop,
                   core::settings settings)
        : settings_(std::move(settings)), loop_(std::move(loop)),
          client_(*loop_),
          store_client_(client_, settings_.text("store.address")),
          store_(store_client_, *loop_), rules_(store_, *loop_),
          work_(store_, *loop_,
                {std::string(rows::layout::work_table),
                 work_feed_wait,
                 core::duration(0),
                 {}},
                [this](rows::row const& changed) {
                    directory_.observe(changed);
                    decider_.observe(changed);
                    work_.set_pause(decider_.is_decider() ? core::duration(0)
                                                          : follower_pause);
                }),
          entries_(store_, *loop_, settings_.text("listen.entries")),
          relay_(entries_, client_),
          customers_(store_, *loop_, rules_, work_, directory_, relay_, *this),
          notices_(client_), advice_(client_, settings_.text("advice.address")),
          decider_(store_, *loop_, work_, [this] { return rules_.current(); },
                   {notices_, [this] { return entries_.others(); }}, advice_,
                   {settings_.text("process.node"),
                    settings_.text("listen.entries"), limits_from(settings_)})
    {
    }

    core::status run()
    {
        SEQUOIA_TRY_INTO(customer_server_,
                         adapter::customer_server::create(
                             *loop_, settings_.text("listen.customers"),
                             [this](gateway::customer_call call,
                                    gateway::customer_responder respond) {
                                 answer(std::move(call), std::move(respond));
                             }));
        SEQUOIA_TRY_INTO(
            readiness_server_,
            adapter::create_readiness_server(
                *loop_, settings_.text("listen.readiness"),
                [this] { return !is_stopping_ && customers_.is_ready(); }));
        SEQUOIA_TRY_INTO(relay_server_,
                         event::http_server::create(
                             *loop_, settings_.text("listen.entries"), {},
                             [this](event::http_request const& request,
                                    event::http_responder const& respond) {
                                 serve_peer(request, respond);
                             }));
        SEQUOIA_TRY_INTO(
            metrics_server_,
            create_metrics_server(*loop_, settings_.text("listen.metrics")));
        auto const terminate =
            loop_->on_signal(SIGTERM, [this] { begin_stop(); });
        auto const interrupt =
            loop_->on_signal(SIGINT, [this] { begin_stop(); });
        auto const reload = loop_->on_signal(SIGHUP, [] {
            core::log_event("settings_changed",
                            {{"effect", "from the next start on"}});
        });
        store_.on_recovery([this] {
            rules_.restart();
            entries_.restart();
            work_.restart();
        });
        store_.on_outage([this] {
            takeover_timer_ = loop_->after(takeover_patience, [this] {
                if (!store_.is_reachable())
                    decider_.request_takeover();
            });
        });
        rules_.start();
        entries_.start();
        work_.start();
        decider_.start();
        core::log_event("process_started",
                        {{"store", settings_.text("store.address")}});
        loop_->run();
        core::log_event("process_stopped", {});
        return core::success();
    }

private:
    void answer(gateway::customer_call call,
                gateway::customer_responder respond)
    {
        auto const received_at = loop_->now();
        customers_.handle(
            std::move(call), [this, received_at, respond = std::move(respond)](
                                 gateway::customer_reply const& reply) {
                metrics::observe(metrics::duration_metric::customer_call,
                                 gateway::name(reply.outcome),
                                 loop_->now() - received_at);
                respond(reply);
            });
    }

    /// Tells the decider of an urgent job at once.
    void on_written(rows::row const& written, bool is_urgent) override
    {
        work_.apply_announced(written);
        if (is_urgent && !decider_.is_decider() &&
            !decider_.decider_address().empty())
            notices_.send_rows(decider_.decider_address(), {{}, {written}});
    }

    /// Serves calls and notices of other processes of the system.
    void serve_peer(event::http_request const& request,
                    event::http_responder const& respond)
    {
        notices::notice_handlers const handlers{
            [this](notices::row_notice notice) {
                for (auto& row : notice.rows)
                    work_.apply_announced(std::move(row));
            },
            [this](std::string const& report) {
                return decider_.receive_report(report);
            },
            [this] {
                if (store_.is_reachable())
                    decider_.take_over();
            }};
        if (!notices::serve_notice(handlers, request, respond))
            serve_relayed(request, respond);
    }

    /// Answers a call that another entry has passed on.
    void serve_relayed(event::http_request const& request,
                       event::http_responder const& respond)
    {
        auto call = gateway::decode_call(request.body);
        if (!core::is_ok(call))
            return respond({400, {}, "{}", "application/json"});
        customers_.handle_locally(
            core::value(std::move(call)),
            [respond](gateway::customer_reply const& reply) {
                respond({200, {}, gateway::encode(reply), "application/json"});
            });
    }

    void begin_stop()
    {
        if (is_stopping_)
            return;
        is_stopping_ = true;
        core::log_event("stop_requested", {});
        decider_.stop();
        customer_server_->drain();
        auto const grace = settings_.time("bounds.grace");
        stop_timer_ =
            loop_->after(std::min(balancer_delay, grace - exit_reserve),
                         [this] { end_when_idle(); });
        limit_timer_ =
            loop_->after(grace - exit_reserve, [this] { loop_->stop(); });
    }

    void end_when_idle()
    {
        constexpr core::duration check_period{50};
        idle_timer_ = loop_->every(check_period, [this] {
            if (customer_server_->open_calls() == 0)
                loop_->stop();
        });
    }

    core::settings settings_;
    std::unique_ptr<event::event_loop> loop_;
    event::evhttp_client client_;
    adapter::store_client store_client_;
    rows::monitored_store store_;
    adapter::store_rules rules_;
    gateway::job_directory directory_;
    rows::table_replica work_;
    gateway::entry_registry entries_;
    gateway::peer_relay relay_;
    gateway::customer_service customers_;
    notices::http_notice_sender notices_;
    adapter::advice_client advice_;
    scheduler::decider_service decider_;
    std::unique_ptr<adapter::customer_server> customer_server_;
    std::unique_ptr<event::http_server> readiness_server_;
    std::unique_ptr<event::http_server> relay_server_;
    std::unique_ptr<event::http_server> metrics_server_;
    std::unique_ptr<event::timer> takeover_timer_;
    std::unique_ptr<event::timer> stop_timer_;
    std::unique_ptr<event::timer> limit_timer_;
    std::unique_ptr<event::timer> idle_timer_;
    bool is_stopping_ = false;
};

} // namespace

core::status run_schedule_entry(std::string const& settings_path)
{
    std::signal(SIGPIPE, SIG_IGN);
    SEQUOIA_TRY_INTO(auto settings,
                     core::settings::create(settings_path, descriptions()));
    core::set_event_source(settings.text("process.node"));
    SEQUOIA_TRY_INTO(auto loop, event::event_loop::create());
    schedule_entry entry(std::move(loop), std::move(settings));
    return entry.run();
}

} // namespace sequoiaroute::programs
