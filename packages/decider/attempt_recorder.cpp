#include "decider/attempt_recorder.hpp"

namespace sequoiaroute::decider {

namespace {

using policy::job_state;

bool has_attempt(job_state state)
{
    return state == job_state::running || state == job_state::stopping;
}

} // namespace

attempt_recorder::attempt_recorder(fleet_state& fleet,
                                   targets::target_directory& directory,
                                   policy::placement_policy& placement,
                                   core::clock const& clock,
                                   core::counters& counters)
    : fleet_(fleet), directory_(directory), placement_(placement),
      clock_(clock), counters_(counters)
{
}

policy::decision attempt_recorder::decide(policy::cluster_view const& cluster)
{
    std::lock_guard const lock(policy_mutex_);
    return placement_.decide(cluster, clock_.now());
}

void attempt_recorder::on_worker_changed(std::string const& worker_id)
{
    fleet_.record_usage_change(worker_id);
}

void attempt_recorder::on_reservation_refused(std::string const& worker_id)
{
    fleet_.record_refusal(worker_id);
}

void attempt_recorder::on_release_unconfirmed(std::string const& worker_id,
                                              policy::resources const& reserved)
{
    fleet_.record_unconfirmed_release(worker_id, reserved);
}

void attempt_recorder::on_member_failed(policy::job_record const& record,
                                        std::string const& worker_id)
{
    auto const fleet_size =
        directory_.targets(peers::target_kind::worker).size();
    fleet_.record_failure(record, worker_id, fleet_size);
}

void attempt_recorder::on_end(job_data const& data,
                              policy::job_record const& next)
{
    auto const name = core::json(next.state).get<std::string>();
    ++counters_.counter("jobs." + name);
    bool const has_succeeded = next.state == job_state::finished;
    if (next.state == job_state::fails_everywhere)
        fleet_.discard_failures_of_job(next.job_id);
    if (has_succeeded) {
        for (auto const& placed : data.record.placed)
            fleet_.record_success(placed.worker_id);
    }
    if (!has_attempt(data.record.state))
        return;
    std::lock_guard const lock(policy_mutex_);
    placement_.observe_end(view_of(data), clock_.now() - data.started_at,
                           has_succeeded);
}

} // namespace sequoiaroute::decider
