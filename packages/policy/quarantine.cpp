#include "policy/quarantine.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

bool quarantine::has_sufficient_evidence(std::string_view worker_id,
                                         core::time_point now) const
{
    std::set<std::string> jobs;
    std::set<std::string> customers;
    std::set<std::string> kinds;
    for (auto const& item : evidence_) {
        if (item.worker_id != worker_id ||
            now - item.failed_at > evidence_window)
            continue;
        jobs.insert(item.job_id);
        customers.insert(item.customer);
        kinds.insert(item.kind);
    }
    return jobs.size() >= min_distinct_jobs &&
           (customers.size() >= min_distinct_customers ||
            kinds.size() >= min_distinct_kinds);
}

void quarantine::record_failure(failure_evidence const& evidence,
                                std::size_t fleet_size)
{
    auto const now = evidence.failed_at;
    std::erase_if(evidence_, [now](auto const& item) {
        return now - item.failed_at > evidence_window;
    });
    std::erase_if(quarantined_since_, [now](auto const& item) {
        return now - item.second >= quarantine_duration;
    });
    evidence_.push_back(evidence);
    auto const limit =
        std::max<std::size_t>(1, fleet_size / min_workers_per_quarantined);
    if (quarantined_since_.size() >= limit)
        return;
    if (has_sufficient_evidence(evidence.worker_id, now))
        quarantined_since_.try_emplace(evidence.worker_id, now);
}

void quarantine::record_success(std::string_view worker_id)
{
    std::erase_if(evidence_, [worker_id](auto const& item) {
        return item.worker_id == worker_id;
    });
    auto const found = quarantined_since_.find(worker_id);
    if (found != quarantined_since_.end())
        quarantined_since_.erase(found);
}

void quarantine::discard_failures_of_job(std::string_view job_id)
{
    std::set<std::string> affected_workers;
    for (auto const& item : evidence_) {
        if (item.job_id == job_id)
            affected_workers.insert(item.worker_id);
    }
    std::erase_if(evidence_,
                  [job_id](auto const& item) { return item.job_id == job_id; });
    std::erase_if(quarantined_since_, [&](auto const& item) {
        return affected_workers.contains(item.first) &&
               !has_sufficient_evidence(item.first, item.second);
    });
}

bool quarantine::is_quarantined(std::string_view worker_id,
                                core::time_point now) const
{
    auto const found = quarantined_since_.find(worker_id);
    return found != quarantined_since_.end() &&
           now - found->second < quarantine_duration;
}

std::vector<std::string> quarantine::quarantined(core::time_point now) const
{
    std::vector<std::string> workers;
    for (auto const& [worker, since] : quarantined_since_) {
        if (now - since < quarantine_duration)
            workers.push_back(worker);
    }
    return workers;
}

} // namespace sequoiaroute::policy
