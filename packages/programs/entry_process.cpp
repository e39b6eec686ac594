#include "programs/entry_process.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"
#include "programs/entry_settings.hpp"

#include <set>
#include <thread>

namespace sequoiaroute::programs {

namespace {

/// Periodic tasks may block on the table or on other entries, and must not
/// delay each other.
constexpr std::size_t timer_thread_count = 8;

/// Period at which a running entry checks whether a later process with its id
/// has started.
constexpr core::duration replacement_check_period{500};

void sleep_for(core::duration delay)
{
    std::this_thread::sleep_for(delay);
}

peers::sender_identity make_identity(entry_configuration const& configuration,
                                     std::string const& incarnation)
{
    return {configuration.settings.text("entry.id"), incarnation,
            configuration.system_key};
}

peers::link_options make_link_options(core::settings const& settings,
                                      core::counters& counters)
{
    peers::link_options options;
    options.counters = &counters;
    options.ping_period = settings.time("timing.ping_period");
    options.silence_limit = settings.time("timing.silence_limit");
    return options;
}

} // namespace

core::result<std::unique_ptr<entry_process>>
entry_process::create(core::settings settings)
{
    SEQUOIA_TRY_INTO(auto system_key,
                     read_system_key(settings.text("keys.system_file")));
    SEQUOIA_TRY_INTO(auto operators, operators::operator_keys::create(
                                         settings.text("keys.operators_file")));
    SEQUOIA_TRY_INTO(auto customers, callers::customer_keys::create(
                                         settings.text("keys.customers_file")));
    auto process = std::make_unique<entry_process>(
        entry_configuration{std::move(settings), std::move(system_key),
                            std::move(operators), std::move(customers)});
    SEQUOIA_TRY(process->start());
    return process;
}

entry_process::entry_process(entry_configuration configuration)
    : configuration_(std::move(configuration)),
      incarnation_(core::make_identifier()), timers_(timer_thread_count),
      table_(http_client_, platform_options("platform.table_address")),
      object_store_(http_client_,
                    platform_options("platform.object_store_address")),
      links_(timers_, make_identity(configuration_, incarnation_),
             make_link_options(configuration_.settings, counters_)),
      membership_(table_, links_, clock_, membership_options()),
      guarantee_check_(membership_),
      rules_(table_, links_, clock_, rules_peers(), &guarantee_check_,
             rules_options()),
      row_writer_(table_, {incarnation_}),
      dispatcher_({links_, membership_, clock_, retry_budget_, sleep_for},
                  configuration_.settings.text("entry.data_centre")),
      claims_({row_writer_, membership_, clock_, sleep_for},
              configuration_.settings.text("entry.id")),
      request_lookup_({object_store_, claims_, membership_, links_, clock_}),
      request_service_({rules_, retry_budget_, membership_, dispatcher_,
                        claims_, request_lookup_, clock_, sleep_for}),
      placement_policy_(policy_weights_of(configuration_.settings)),
      job_engine_({table_, object_store_, links_, membership_, rules_,
                   placement_policy_, clock_, counters_, own_record()}),
      operator_api_({configuration_.operators, rules_, counters_,
                     [this] { return dump(); },
                     [this] { return readiness(); }}),
      router_(incarnation_)
{
    membership_.set_rules(rules_);
}

platform::service_endpoint
entry_process::platform_options(std::string_view address_key) const
{
    return {configuration_.settings.text(address_key),
            configuration_.settings.time("timing.platform_call_limit")};
}

peers::entry_record entry_process::own_record() const
{
    auto const& settings = configuration_.settings;
    return {settings.text("entry.id"), incarnation_,
            settings.text("entry.peer_address"),
            settings.text("entry.http_address"),
            settings.text("entry.data_centre")};
}

targets::membership_options entry_process::membership_options() const
{
    auto const& settings = configuration_.settings;
    targets::membership_options options;
    options.self = own_record();
    options.static_peers = settings.addresses("entry.peers");
    options.suspect_after = settings.time("timing.suspect_after");
    options.entry_live_limit = settings.time("timing.entry_live_limit");
    options.lost_after = settings.time("timing.lost_after");
    options.lost_without_contact = settings.time("timing.lost_without_contact");
    options.lost_margin = settings.time("timing.lost_margin");
    options.call_limit = settings.time("timing.peer_call_limit");
    options.keeper_count =
        static_cast<std::size_t>(settings.integer("limits.keeper_agents"));
    return options;
}

operators::rules_service_options entry_process::rules_options() const
{
    auto const& settings = configuration_.settings;
    operators::rules_service_options options;
    options.entry_id = settings.text("entry.id");
    options.incarnation = incarnation_;
    options.confirmation_limit =
        settings.time("timing.rules_confirmation_limit");
    options.call_limit = settings.time("timing.peer_call_limit");
    return options;
}

operators::rules_peers entry_process::rules_peers() const
{
    return {[this] { return membership_.peer_entries(); },
            [this] { return membership_.entry_addresses(); },
            [this] { return membership_.agent_addresses(); }};
}

core::status entry_process::start()
{
    auto const& settings = configuration_.settings;
    // The answers to reports tell agents how recently this entry contacted the
    // table, and agents rely on it: contact it before answering any report.
    rules_.refresh();
    membership_.renew();
    add_message_handlers();
    peers::server_options peer_options;
    peer_options.address = settings.text("entry.peer_address");
    peer_options.key = configuration_.system_key;
    peer_options.incarnation = incarnation_;
    peer_options.counters = &counters_;
    peer_options.thread_count =
        static_cast<std::size_t>(settings.integer("limits.peer_threads"));
    SEQUOIA_TRY_INTO(
        peer_server_,
        peers::nng_server::create(peer_options, [this](auto const& request) {
            return router_.handle(request);
        }));
    http::http_server_options http_options;
    http_options.address = settings.text("entry.http_address");
    http_options.thread_count =
        static_cast<std::size_t>(settings.integer("limits.http_threads"));
    http_options.body_limit =
        static_cast<std::size_t>(settings.size_in_bytes("limits.body_size"));
    http_options.receive_limit = settings.time("timing.receive_limit");
    SEQUOIA_TRY_INTO(http_server_, http::http_server::create(http_options));
    operator_api_.add_routes(*http_server_);
    request_api_ = std::make_unique<callers::request_api>(
        *http_server_, configuration_.customers, request_service_,
        http_options.body_limit);
    job_api_ = std::make_unique<callers::job_api>(
        *http_server_, configuration_.customers, job_engine_.jobs(), rules_,
        http_options.body_limit);
    start_periodic_tasks();
    job_engine_.start(timers_);
    core::log(core::log_level::info, "entry started",
              {{"entry", settings.text("entry.id")},
               {"http", http_options.address},
               {"peers", peer_options.address}});
    return core::success();
}

void entry_process::add_message_handlers()
{
    router_.add(peers::message_kind::report, [this](auto const& request) {
        return membership_.handle_report(request);
    });
    router_.add(peers::message_kind::sync, [this](auto const& request) {
        return membership_.handle_sync(request);
    });
    router_.add(peers::message_kind::rules,
                [this](auto const& request) { return rules_.handle(request); });
    for (auto const* const kind :
         {peers::message_kind::task_report, peers::message_kind::job_changed,
          peers::message_kind::job_note}) {
        router_.add(kind, [this](auto const& request) {
            membership_.record_term(job_engine_.term());
            return job_engine_.handle(request);
        });
    }
}

void entry_process::start_periodic_tasks()
{
    auto const& settings = configuration_.settings;
    subscriptions_.push_back(
        timers_.subscribe(settings.time("timing.rules_read_period"),
                          [this] { rules_.refresh(); }));
    subscriptions_.push_back(timers_.subscribe(
        settings.time("timing.sync_period"), [this] { membership_.sync(); }));
    subscriptions_.push_back(
        timers_.subscribe(settings.time("timing.entry_renew_period"),
                          [this] { membership_.renew(); }));
}

void entry_process::run(stop_signal const& signal)
{
    while (!signal.wait(replacement_check_period) &&
           !membership_.is_replaced()) {
    }
    stop();
}

void entry_process::stop()
{
    auto const& settings = configuration_.settings;
    core::log(core::log_level::info, "entry is stopping",
              {{"entry", settings.text("entry.id")}});
    is_stopping_ = true;
    // Releases the lease, so that another entry acquires it while this one
    // drains.
    job_engine_.stop();
    // Gives the load balancer time to notice that this entry is not ready and
    // to send new work to other entries.
    std::this_thread::sleep_for(settings.time("timing.not_ready_before_stop"));
    request_service_.begin_drain();
    job_api_->begin_drain();
    bool const is_drained =
        http_server_->drain(settings.time("timing.drain_limit"));
    membership_.leave();
    subscriptions_.clear();
    peer_server_->stop();
    core::log(core::log_level::info, "entry stopped",
              {{"entry", settings.text("entry.id")},
               {"drained", is_drained ? "true" : "false"}});
}

core::status entry_process::readiness() const
{
    if (is_stopping_) {
        return core::error{core::result_code::stopping_not_run,
                           "this entry is stopping"};
    }
    return rules_.admission_state();
}

core::json entry_process::dump_targets() const
{
    auto list = core::json::array();
    for (auto const kind :
         {peers::target_kind::executor, peers::target_kind::worker}) {
        for (auto const& target : membership_.targets(kind)) {
            list.push_back({{"report", target.report},
                            {"age_ms", target.age.count()},
                            {"is_suspect", target.is_suspect}});
        }
    }
    return list;
}

core::json entry_process::dump() const
{
    auto const readiness = this->readiness();
    return {{"entry", own_record()},
            {"settings", configuration_.settings.values()},
            {"readiness", core::name(core::code_of(readiness))},
            {"rules_generation", rules_.rules_generation()},
            {"term", membership_.term()},
            {"table_age_ms", rules_.table_age().count()},
            {"authority_age_ms", membership_.authority_age().count()},
            {"entries", membership_.peer_entries()},
            {"targets", dump_targets()},
            {"jobs", job_engine_.dump()},
            {"counters", counters_.values()}};
}

} // namespace sequoiaroute::programs
