#pragma once

#include "scheduler/scheduler_core.hpp"
#include "support/worker_reports.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// A scheduler core, and the last report of each of its workers.
class scheduler_core_fixture : public testing::Test
{
protected:
    scheduler_core_fixture() : core_(scheduler_limits{}) {}

    /// Adds a worker, or replaces its report.
    void add_worker(jobs::worker_report const& report)
    {
        reports_[report.agent] = report;
        core_.receive_report(report, now_);
    }

    /// @return a job of one step
    static jobs::submission make_job_of(std::string const& id,
                                        jobs::step_spec const& step)
    {
        jobs::submission job;
        job.job_id = id;
        job.customer = "press";
        job.parameters = {"q", "s", 1, 2, 3, std::chrono::seconds(1)};
        job.spec.steps = {step};
        return job;
    }

    std::vector<job_change> decide()
    {
        return core_.decide({now_, unix_ms_, now_});
    }

    /// @return the orders of one kind among the changes
    static std::vector<jobs::run_order>
    orders(std::vector<job_change> const& changes,
           order_change::action_type kind)
    {
        std::vector<jobs::run_order> found;
        for (auto const& change : changes) {
            for (auto const& order : change.orders) {
                if (order.action == kind)
                    found.push_back(order.order);
            }
        }
        return found;
    }

    std::vector<jobs::run_order> decide_starts()
    {
        return orders(decide(), order_change::action_type::start);
    }

    core::time_point now_{std::chrono::seconds(1000)};
    std::int64_t unix_ms_ = 5'000'000;
    std::map<std::string, jobs::worker_report> reports_;
    scheduler_core core_;
};

} // namespace sequoiaroute::scheduler
