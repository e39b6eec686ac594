#include "programs/job_diagnosis.hpp"

#include <algorithm>
#include <map>
#include <optional>

#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

/// Smaller losses are the usual way of a job.
constexpr std::int64_t least_loss_ms = 100;

using event_time = std::optional<std::int64_t>;

/// Goes through the events of a job and adds up what was lost.
class loss_finder
{
public:
    void add(job_event const& event)
    {
        if (event.event == "call_refused" || event.event == "job_refused") {
            set_once(refused_at_, event.time_ms);
            ++refusals_;
        } else if (event.event == "job_accepted") {
            set_once(accepted_at_, event.time_ms);
        } else if (event.event == "job_queued") {
            set_once(queued_at_, event.time_ms);
        } else if (event.event == "run_stop_ordered") {
            stop_reasons_[event.run] = event.detail;
        } else if (event.event == "run_ordered") {
            add_order(event);
        } else if (event.event == "start_answered") {
            if (event.detail == "done")
                started_at_.emplace(event.run, event.time_ms);
        } else if (event.event == "run_end_listed") {
            if (event.detail == "done")
                done_at_ = event.time_ms;
        } else if (event.event == "run_ended") {
            add_end(event);
        } else if (event.event == "job_finished") {
            set_once(finished_at_, event.time_ms);
        }
    }

    std::vector<time_loss> take()
    {
        if (refused_at_ && accepted_at_) {
            add_loss(*accepted_at_ - *refused_at_,
                     fmt::format("refused {} times: the store did not take it, "
                                 "see store_lost",
                                 refusals_));
        } else if (refused_at_) {
            add_loss(least_loss_ms,
                     "refused to the end: the store did not take it, see "
                     "store_lost");
        }
        if (accepted_at_ && queued_at_) {
            add_loss(*queued_at_ - *accepted_at_,
                     "no decider had noted it, see lease_acquired");
        }
        if (queued_at_ && first_order_at_) {
            add_loss(*first_order_at_ - *queued_at_,
                     "waited for room on workers");
        }
        add_loss(longest_step_wait_ms(),
                 "a task waited for room on workers, after the first of its "
                 "step");
        add_loss(slowest_order_ms(),
                 "orders reached their agents late, see store_lost and "
                 "store_write_unanswered");
        if (done_at_ && finished_at_) {
            add_loss(*finished_at_ - *done_at_,
                     "its end was stored late, see store_lost and "
                     "store_write_unanswered");
        }
        std::stable_sort(losses_.begin(), losses_.end(),
                         [](auto const& left, auto const& right) {
                             return left.lost_ms > right.lost_ms;
                         });
        return std::move(losses_);
    }

private:
    static void set_once(event_time& target, std::int64_t time)
    {
        if (!target)
            target = time;
    }

    void add_loss(std::int64_t lost_ms, std::string cause)
    {
        if (lost_ms >= least_loss_ms)
            losses_.push_back({lost_ms, std::move(cause)});
    }

    void add_order(job_event const& event)
    {
        set_once(first_order_at_, event.time_ms);
        ordered_at_.emplace(event.run, event.time_ms);
    }

    void add_end(job_event const& event)
    {
        auto const ordered = ordered_at_.find(event.run);
        if (event.detail == "done" || ordered == ordered_at_.end())
            return;
        // The members of a gang end for one reason.
        auto const number = event.run.substr(event.run.rfind('/'));
        if (event.detail == "broken" || !lost_runs_.emplace(number, 1).second)
            return;
        auto const reason = stop_reasons_.find(event.run);
        auto const why =
            reason == stop_reasons_.end()
                ? event.detail
                : fmt::format("{}: {}", event.detail, reason->second);
        add_loss(event.time_ms - ordered->second,
                 fmt::format("a run on {} was in vain, {}", event.agent, why));
    }

    /// @return how long after the first task of its step another one was first
    ///         ordered
    std::int64_t longest_step_wait_ms() const
    {
        std::int64_t longest = 0;
        std::map<std::string, std::int64_t> begins;
        for (auto const& [run, ordered] : ordered_at_) {
            auto const step = run.substr(0, run.rfind('.'));
            auto const [found, is_new] = begins.emplace(step, ordered);
            found->second = std::min(found->second, ordered);
        }
        for (auto const& [run, ordered] : ordered_at_) {
            if (run.ends_with("/1"))
                longest = std::max(
                    longest, ordered - begins[run.substr(0, run.rfind('.'))]);
        }
        return longest;
    }

    std::int64_t slowest_order_ms() const
    {
        std::int64_t slowest = 0;
        for (auto const& [run, started] : started_at_) {
            auto const ordered = ordered_at_.find(run);
            if (ordered != ordered_at_.end())
                slowest = std::max(slowest, started - ordered->second);
        }
        return slowest;
    }

    event_time refused_at_;
    event_time accepted_at_;
    event_time queued_at_;
    event_time first_order_at_;
    event_time done_at_;
    event_time finished_at_;
    int refusals_ = 0;
    std::map<std::string, std::int64_t> ordered_at_;
    std::map<std::string, std::int64_t> started_at_;
    std::map<std::string, std::string> stop_reasons_;
    std::map<std::string, int> lost_runs_; ///< by number of the run
    std::vector<time_loss> losses_;
};

} // namespace

std::vector<time_loss> diagnose(std::span<job_event const> events)
{
    loss_finder finder;
    for (auto const& event : events)
        finder.add(event);
    return finder.take();
}

} // namespace sequoiaroute::programs
