#include "decider/fleet_state.hpp"

#include <algorithm>

namespace sequoiaroute::decider {

namespace {

using policy::job_state;
using policy::resources;

/// The report that follows the first one seen after a usage change may have
/// been made before the change, so usage counts only from the one after that.
constexpr std::uint64_t reports_until_current = 2;

void add(resources& sum, resources const& part)
{
    sum.cores += part.cores;
    sum.memory_megabytes += part.memory_megabytes;
    sum.accelerators += part.accelerators;
}

resources element_wise_max(resources const& left, resources const& right)
{
    return {std::max(left.cores, right.cores),
            std::max(left.memory_megabytes, right.memory_megabytes),
            std::max(left.accelerators, right.accelerators)};
}

/// @return total minus used, at least zero in each field
resources remaining(resources const& total, resources const& used)
{
    return {std::max(0, total.cores - used.cores),
            std::max(0, total.memory_megabytes - used.memory_megabytes),
            std::max(0, total.accelerators - used.accelerators)};
}

/// Whether a job occupies resources on workers, or is about to reserve them.
bool holds_resources(job_data const& data)
{
    auto const state = data.record.state;
    return state == job_state::reserving || state == job_state::running ||
           state == job_state::stopping || !data.planned.empty();
}

bool is_awaiting_placement(job_data const& data)
{
    return data.record.state == job_state::queued && data.planned.empty() &&
           !data.pending_write && !data.is_row_stale &&
           !data.rejection_reason && !data.record.is_cancel_requested;
}

/// @return the worker of each member that holds resources; a member that has
///         ended holds none
std::vector<std::string> occupied_workers(job_data const& data)
{
    std::vector<std::string> workers;
    for (auto const& planned : data.planned)
        workers.push_back(planned.worker_id);
    if (!data.planned.empty())
        return workers;
    for (std::size_t index = 0; index < data.record.placed.size(); ++index) {
        bool const has_ended =
            index < data.members.size() && data.members[index].has_ended;
        if (!has_ended)
            workers.push_back(data.record.placed[index].worker_id);
    }
    return workers;
}

/// @return the index of a worker in the snapshot, which gets it if it is absent
std::size_t index_of(fleet_snapshot& snapshot, std::string const& worker_id)
{
    auto const found = std::find_if(
        snapshot.workers.begin(), snapshot.workers.end(),
        [&](auto const& worker) { return worker.worker_id == worker_id; });
    if (found != snapshot.workers.end())
        return static_cast<std::size_t>(found - snapshot.workers.begin());
    // A worker that is no longer in the directory still holds members until
    // they are known to have ended.
    policy::worker_view unlisted;
    unlisted.worker_id = worker_id;
    unlisted.accepts_work = false;
    snapshot.workers.push_back(unlisted);
    snapshot.agents.push_back({worker_id, "", ""});
    return snapshot.workers.size() - 1;
}

void add_running(fleet_snapshot& snapshot, job_data const& data)
{
    policy::running_job_view running;
    running.job = view_of(data);
    for (auto const& worker : occupied_workers(data))
        running.members.push_back(index_of(snapshot, worker));
    running.started_at = data.started_at;
    running.is_borrowing = data.planned.empty() ? data.record.is_borrowing
                                                : data.is_planned_borrowing;
    running.is_stopping = data.record.state == job_state::stopping ||
                          data.eviction_reason.has_value();
    snapshot.running.push_back(std::move(running));
}

} // namespace

policy::job_view view_of(job_data const& data)
{
    auto const& record = data.record;
    policy::job_view view;
    view.job_id = record.job_id;
    view.customer = record.customer;
    view.kind = record.kind;
    view.member = record.member;
    view.members = record.members;
    view.within = record.within;
    view.is_urgent = record.is_urgent;
    view.is_unrepeatable = record.is_unrepeatable;
    view.submitted_at = data.submitted_at;
    view.deadline = record.deadline_ms > 0
                        ? data.submitted_at + core::duration(record.deadline_ms)
                        : core::time_point::max();
    view.declared_run_time = core::duration(record.declared_run_time_ms);
    view.avoided_workers = record.failed_workers;
    return view;
}

void fleet_state::record_usage_change(std::string const& worker_id)
{
    std::lock_guard const lock(mutex_);
    usage_changes_[worker_id].awaits_report = true;
}

void fleet_state::record_refusal(std::string const& worker_id)
{
    std::lock_guard const lock(mutex_);
    refused_until_[worker_id] = clock_.now() + refusal_period;
}

void fleet_state::record_unconfirmed_release(std::string const& worker_id,
                                             resources const& reserved)
{
    std::lock_guard const lock(mutex_);
    unconfirmed_releases_.push_back(
        {worker_id, reserved, clock_.now() + unconfirmed_release_lifetime});
}

void fleet_state::record_failure(policy::job_record const& record,
                                 std::string const& worker_id,
                                 std::size_t fleet_size)
{
    std::lock_guard const lock(mutex_);
    quarantine_.record_failure(
        {worker_id, record.job_id, record.customer, record.kind, clock_.now()},
        fleet_size);
}

void fleet_state::record_success(std::string const& worker_id)
{
    std::lock_guard const lock(mutex_);
    quarantine_.record_success(worker_id);
}

void fleet_state::discard_failures_of_job(std::string const& job_id)
{
    std::lock_guard const lock(mutex_);
    quarantine_.discard_failures_of_job(job_id);
}

std::vector<std::string> fleet_state::quarantined() const
{
    std::lock_guard const lock(mutex_);
    return quarantine_.quarantined(clock_.now());
}

void fleet_state::clear()
{
    std::lock_guard const lock(mutex_);
    usage_changes_.clear();
    refused_until_.clear();
    unconfirmed_releases_.clear();
}

bool fleet_state::is_report_current(peers::target_report const& report)
{
    auto const found = usage_changes_.find(report.target_id);
    if (found == usage_changes_.end())
        return true;
    auto& usage_change = found->second;
    if (usage_change.awaits_report)
        usage_change = {false, report.incarnation, report.sequence};
    return usage_change.incarnation != report.incarnation ||
           report.sequence >= usage_change.sequence + reports_until_current;
}

void fleet_state::add_worker(fleet_snapshot& snapshot,
                             targets::known_target const& target,
                             resources const& used)
{
    auto const& report = target.report;
    auto const now = clock_.now();
    // The reported usage includes tasks that this decider does not track, but
    // it lags behind what this decider has just placed or stopped.
    auto const in_use = is_report_current(report)
                            ? element_wise_max(used, report.in_use)
                            : used;
    auto const refused = refused_until_.find(report.target_id);
    bool const has_refused =
        refused != refused_until_.end() && now < refused->second;
    bool const accepts_work =
        !report.is_leaving && !target.is_suspect && !has_refused &&
        !quarantine_.is_quarantined(report.target_id, now);
    snapshot.workers.push_back({report.target_id, report.data_centre,
                                report.rack, report.total,
                                remaining(report.total, in_use), accepts_work});
    snapshot.agents.push_back(
        {report.target_id, report.address, report.incarnation});
}

std::map<std::string, resources>
fleet_state::usage_by_worker(std::vector<job_data> const& jobs)
{
    std::map<std::string, resources> used;
    for (auto const& data : jobs) {
        if (!holds_resources(data))
            continue;
        for (auto const& worker : occupied_workers(data))
            add(used[worker], data.record.member);
    }
    auto const now = clock_.now();
    std::erase_if(unconfirmed_releases_,
                  [now](auto const& release) { return release.until <= now; });
    for (auto const& release : unconfirmed_releases_)
        add(used[release.worker_id], release.reserved);
    return used;
}

fleet_snapshot
fleet_state::build_snapshot(std::vector<targets::known_target> const& targets,
                            std::vector<job_data> const& jobs)
{
    std::lock_guard const lock(mutex_);
    auto used = usage_by_worker(jobs);
    fleet_snapshot snapshot;
    for (auto const& target : targets)
        add_worker(snapshot, target, used[target.report.target_id]);
    std::vector<job_data const*> queue;
    for (auto const& data : jobs) {
        if (holds_resources(data))
            add_running(snapshot, data);
        else if (is_awaiting_placement(data))
            queue.push_back(&data);
    }
    std::stable_sort(queue.begin(), queue.end(), [](auto* left, auto* right) {
        return left->submitted_at < right->submitted_at;
    });
    for (auto const* data : queue)
        snapshot.pending.push_back(view_of(*data));
    return snapshot;
}

} // namespace sequoiaroute::decider
