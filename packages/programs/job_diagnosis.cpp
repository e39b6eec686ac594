#include "programs/job_diagnosis.hpp"

#include <algorithm>
#include <map>
#include <optional>

#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

/// Smaller losses occur in every job and are not reported.
constexpr std::int64_t min_reported_loss_ms = 100;

using optional_time_ms = std::optional<std::int64_t>;

/// Collects the events of a job and derives the lost time from them.
class loss_finder
{
public:
    /// @param event the next event in order of time
    void add(job_event const& event)
    {
        if (event.event == "call_refused" || event.event == "job_refused") {
            set_if_unset(first_refused_at_, event.time_ms);
            ++refusal_count_;
        } else if (event.event == "job_accepted") {
            set_if_unset(accepted_at_, event.time_ms);
        } else if (event.event == "job_queued") {
            set_if_unset(queued_at_, event.time_ms);
        } else if (event.event == "run_stop_ordered") {
            stop_reasons_[event.run] = event.detail;
        } else if (event.event == "run_ordered") {
            add_order(event);
        } else if (event.event == "start_answered") {
            if (event.detail == "done")
                started_at_.emplace(event.run, event.time_ms);
        } else if (event.event == "run_end_listed") {
            if (event.detail == "done")
                last_run_done_at_ = event.time_ms;
        } else if (event.event == "run_ended") {
            add_end(event);
        } else if (event.event == "job_finished") {
            set_if_unset(finished_at_, event.time_ms);
        }
    }

    /// @return the losses, the largest first; call it once, after all events
    std::vector<time_loss> take_losses()
    {
        if (first_refused_at_ && accepted_at_) {
            add_loss(
                *accepted_at_ - *first_refused_at_,
                fmt::format("refused {} times: the store did not accept it, "
                            "see store_lost",
                            refusal_count_));
        } else if (first_refused_at_) {
            add_loss(
                min_reported_loss_ms,
                "refused up to the end of the logs: the store did not accept "
                "it, see store_lost");
        }
        if (accepted_at_ && queued_at_) {
            add_loss(*queued_at_ - *accepted_at_,
                     "no decider had queued it, see lease_acquired");
        }
        if (queued_at_ && first_ordered_at_) {
            add_loss(*first_ordered_at_ - *queued_at_,
                     "waited for free resources on workers");
        }
        add_loss(longest_step_wait_ms(), "a task waited for free resources on "
                                         "workers after the first task of its "
                                         "step was ordered");
        add_loss(longest_start_delay_ms(),
                 "orders reached their agents late, see store_lost and "
                 "store_write_unanswered");
        if (last_run_done_at_ && finished_at_) {
            add_loss(*finished_at_ - *last_run_done_at_,
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
    static void set_if_unset(optional_time_ms& field, std::int64_t time_ms)
    {
        if (!field)
            field = time_ms;
    }

    void add_loss(std::int64_t lost_ms, std::string cause)
    {
        if (lost_ms >= min_reported_loss_ms)
            losses_.push_back({lost_ms, std::move(cause)});
    }

    void add_order(job_event const& event)
    {
        set_if_unset(first_ordered_at_, event.time_ms);
        ordered_at_.emplace(event.run, event.time_ms);
    }

    void add_end(job_event const& event)
    {
        auto const ordered = ordered_at_.find(event.run);
        if (event.detail == "done" || ordered == ordered_at_.end())
            return;
        // The members of a gang have the same run number and are lost
        // together; the loss counts once. Members that ended as "broken" ended
        // because another one did.
        auto const run_number = event.run.substr(event.run.rfind('/'));
        if (event.detail == "broken" ||
            !lost_run_numbers_.emplace(run_number, 1).second)
            return;
        auto const reason = stop_reasons_.find(event.run);
        auto const detailed_reason =
            reason == stop_reasons_.end()
                ? event.detail
                : fmt::format("{}: {}", event.detail, reason->second);
        add_loss(event.time_ms - ordered->second,
                 fmt::format("the work of a run on {} was lost, {}",
                             event.agent, detailed_reason));
    }

    /// @return the longest time from the first order of a step to the first
    ///         order of another task of the same step
    std::int64_t longest_step_wait_ms() const
    {
        std::int64_t longest = 0;
        std::map<std::string, std::int64_t> first_ordered_at;
        for (auto const& [run, ordered] : ordered_at_) {
            auto const step = run.substr(0, run.rfind('.'));
            auto const [found, is_new] =
                first_ordered_at.emplace(step, ordered);
            found->second = std::min(found->second, ordered);
        }
        for (auto const& [run, ordered] : ordered_at_) {
            if (run.ends_with("/1"))
                longest = std::max(
                    longest,
                    ordered - first_ordered_at[run.substr(0, run.rfind('.'))]);
        }
        return longest;
    }

    /// @return the longest time from the order of a run to its start
    std::int64_t longest_start_delay_ms() const
    {
        std::int64_t longest = 0;
        for (auto const& [run, started] : started_at_) {
            auto const ordered = ordered_at_.find(run);
            if (ordered != ordered_at_.end())
                longest = std::max(longest, started - ordered->second);
        }
        return longest;
    }

    optional_time_ms first_refused_at_;
    optional_time_ms accepted_at_;
    optional_time_ms queued_at_;
    optional_time_ms first_ordered_at_;
    optional_time_ms last_run_done_at_;
    optional_time_ms finished_at_;
    int refusal_count_ = 0;
    // Times in milliseconds and reasons by run.
    std::map<std::string, std::int64_t> ordered_at_;
    std::map<std::string, std::int64_t> started_at_;
    std::map<std::string, std::string> stop_reasons_;
    std::map<std::string, int> lost_run_numbers_; ///< used as a set
    std::vector<time_loss> losses_;
};

} // namespace

std::vector<time_loss> diagnose(std::span<job_event const> events)
{
    loss_finder finder;
    for (auto const& event : events)
        finder.add(event);
    return finder.take_losses();
}

} // namespace sequoiaroute::programs
