#include "rows/monitored_store.hpp"

#include "core/event_log.hpp"

namespace sequoiaroute::rows {

namespace {

constexpr core::duration check_period{100};
/// The least time between probes; the store charges for refused calls too.
constexpr core::duration probe_period{200};
/// A store that does not respond keeps a probe pending until it times out. The
/// next ones do not wait for that, so that its return is noticed at once.
constexpr std::size_t max_pending_probes = 5;
/// Probes read the first row of this table, which need not exist.
constexpr std::string_view probe_table = "sequoiaroute-work";

} // namespace

monitored_store::monitored_store(row_store& store, event::timer_service& timers)
    : store_(store), timers_(timers),
      check_timer_(
          timers.every(check_period, [this] { update_reachability(); }))
{
}

void monitored_store::record_result(store_reachability::call_id call,
                                    bool has_succeeded)
{
    auto const now = timers_.now();
    if (has_succeeded)
        reachability_.record_success(call, now);
    else
        reachability_.record_failure(call, now);
    update_reachability();
}

void monitored_store::update_reachability()
{
    bool const is_reachable_now = is_reachable();
    if (is_reachable_now != was_reachable_) {
        was_reachable_ = is_reachable_now;
        auto const now = timers_.now();
        if (!is_reachable_now) {
            outage_started_at_ = now;
            core::log_event("store_lost", {});
            for (auto const& callback : outage_callbacks_)
                callback();
        } else {
            core::log_event("store_regained",
                            {{"after_ms", (now - outage_started_at_).count()}});
            for (auto const& callback : recovery_callbacks_)
                callback();
        }
    }
    if (!is_reachable_now)
        probe();
}

void monitored_store::probe()
{
    auto const now = timers_.now();
    if (pending_probes_ >= max_pending_probes ||
        now - last_probe_at_ < probe_period)
        return;
    ++pending_probes_;
    last_probe_at_ = now;
    std::weak_ptr<bool> const alive = alive_;
    read({std::string(probe_table), {}, {}, std::nullopt, 1},
         [this, alive](page const&) {
             if (!alive.expired())
                 --pending_probes_;
         });
}

void monitored_store::commit(transaction changes, core::duration timeout,
                             std::function<void(commit_result)> done)
{
    auto const call = reachability_.record_sent(true, timers_.now());
    std::weak_ptr<bool> const alive = alive_;
    store_.commit(std::move(changes), timeout,
                  [this, alive, call,
                   done = std::move(done)](commit_result const& result) {
                      bool const has_succeeded =
                          result.outcome == commit_outcome::committed ||
                          result.outcome == commit_outcome::conflict;
                      if (!alive.expired())
                          record_result(call, has_succeeded);
                      done(result);
                  });
}

void monitored_store::read(range rows, std::function<void(page)> done)
{
    auto const call = reachability_.record_sent(true, timers_.now());
    std::weak_ptr<bool> const alive = alive_;
    store_.read(std::move(rows), [this, alive, call,
                                  done = std::move(done)](page const& result) {
        if (!alive.expired())
            record_result(call, result.is_ok);
        done(result);
    });
}

void monitored_store::list_parts(std::string const& table,
                                 std::function<void(part_list)> done)
{
    auto const call = reachability_.record_sent(true, timers_.now());
    std::weak_ptr<bool> const alive = alive_;
    store_.list_parts(table, [this, alive, call,
                              done = std::move(done)](part_list const& result) {
        if (!alive.expired())
            record_result(call, result.is_ok);
        done(result);
    });
}

void monitored_store::poll_feed(std::string const& table, row_version after,
                                core::duration wait,
                                std::function<void(feed_page)> done)
{
    auto const call = reachability_.record_sent(false, timers_.now());
    std::weak_ptr<bool> const alive = alive_;
    store_.poll_feed(
        table, after, wait,
        [this, alive, call, done = std::move(done)](feed_page const& result) {
            if (!alive.expired())
                record_result(call,
                              result.outcome != feed_outcome::unavailable);
            done(result);
        });
}

} // namespace sequoiaroute::rows
