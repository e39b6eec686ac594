#include "rows/monitored_store.hpp"

#include "core/event_log.hpp"

namespace sequoiaroute::rows {

namespace {

constexpr core::duration check_period{100};
/// Each refused call is paid for.
constexpr core::duration probe_period{200};
/// The row that a probe asks for need not exist.
constexpr std::string_view probe_table = "sequoiaroute-work";

} // namespace

monitored_store::monitored_store(row_store& store, event::timer_service& timers)
    : store_(store), timers_(timers),
      check_timer_(timers.every(check_period, [this] { check(); }))
{
}

void monitored_store::finish(store_reachability::call_id call, bool is_answered)
{
    auto const now = timers_.now();
    if (is_answered)
        reachability_.record_answer(call, now);
    else
        reachability_.record_failure(call, now);
    check();
}

void monitored_store::check()
{
    bool const is_now = is_reachable();
    if (is_now != was_reachable_) {
        was_reachable_ = is_now;
        auto const now = timers_.now();
        if (!is_now) {
            lost_at_ = now;
            core::log_event("store_lost", {});
            for (auto const& callback : loss_callbacks_)
                callback();
        } else {
            core::log_event("store_regained",
                            {{"after_ms", (now - lost_at_).count()}});
            for (auto const& callback : return_callbacks_)
                callback();
        }
    }
    if (!is_now)
        probe();
}

void monitored_store::probe()
{
    auto const now = timers_.now();
    if (is_probing_ || now - probed_at_ < probe_period)
        return;
    is_probing_ = true;
    probed_at_ = now;
    read({std::string(probe_table), {}, {}, std::nullopt, 1},
         [this](page const&) { is_probing_ = false; });
}

void monitored_store::commit(transaction changes, core::duration timeout,
                             std::function<void(commit_result)> done)
{
    auto const call = reachability_.record_sent(true, timers_.now());
    std::weak_ptr<bool> const alive = alive_;
    store_.commit(std::move(changes), timeout,
                  [this, alive, call,
                   done = std::move(done)](commit_result const& result) {
                      bool const is_answered =
                          result.outcome == commit_outcome::committed ||
                          result.outcome == commit_outcome::conflict;
                      if (!alive.expired())
                          finish(call, is_answered);
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
            finish(call, result.is_ok);
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
            finish(call, result.is_ok);
        done(result);
    });
}

void monitored_store::follow(std::string const& table, row_version after,
                             core::duration wait,
                             std::function<void(feed_page)> done)
{
    auto const call = reachability_.record_sent(false, timers_.now());
    std::weak_ptr<bool> const alive = alive_;
    store_.follow(
        table, after, wait,
        [this, alive, call, done = std::move(done)](feed_page const& result) {
            if (!alive.expired())
                finish(call, result.outcome != feed_outcome::unavailable);
            done(result);
        });
}

} // namespace sequoiaroute::rows
