#include "policy/round_time.hpp"

#include "policy/load.hpp"
#include "policy/measurements.hpp"
#include "policy/processor_time.hpp"

#include <set>

namespace sequoiaroute::benchmarks {

namespace {

constexpr int measured_rounds = 15;

} // namespace

double median_round_microseconds(measured_policy const& tested_policy,
                                 int workers, int queued)
{
    // Repeats the fleet of the first load: racks of three workers with eight
    // accelerators each.
    auto load = measured_loads().front();
    auto const template_workers = load.workers;
    load.workers.clear();
    for (int index = 0; index < workers; ++index) {
        auto worker = template_workers[static_cast<std::size_t>(index) %
                                       template_workers.size()];
        worker.worker_id = "w" + std::to_string(index);
        worker.rack = "r" + std::to_string(index / 3);
        worker.data_centre = "dc" + std::to_string(index / 3 % 3);
        load.workers.push_back(worker);
    }
    load.days = 20.0 * (queued + workers * 8) / 1000;
    auto const arrivals = generate_arrivals(load, 1);
    auto const policy = tested_policy.create();
    std::vector<policy::job_view> pending;
    std::vector<policy::running_job_view> running;
    std::size_t next = 0;
    core::time_point now(std::chrono::hours(10'000));
    auto const submit = [&] {
        pending.push_back(arrivals[next++ % arrivals.size()].job);
        pending.back().job_id = "q" + std::to_string(next);
        pending.back().submitted_at =
            now - std::chrono::minutes(1) + core::duration(next % 60'000);
        pending.back().deadline = core::time_point::max();
    };
    std::vector<double> round_times_us;
    int filling_rounds = 0;
    while (round_times_us.size() < measured_rounds) {
        while (pending.size() < static_cast<std::size_t>(queued))
            submit();
        auto const started_at_us = thread_cpu_microseconds();
        auto const decision =
            policy->decide({load.workers, pending, running, load.rules}, now);
        auto const round_us = thread_cpu_microseconds() - started_at_us;
        std::set<std::string> decided;
        for (auto const& placement : decision.placements) {
            decided.insert(placement.job_id);
            for (auto const& job : pending) {
                if (job.job_id != placement.job_id)
                    continue;
                for (auto const member : placement.members) {
                    auto& free = load.workers[member].free;
                    free.cores -= job.member.cores;
                    free.memory_megabytes -= job.member.memory_megabytes;
                    free.accelerators -= job.member.accelerators;
                }
                running.push_back({.job = job,
                                   .members = placement.members,
                                   .started_at = now,
                                   .is_borrowing = placement.is_borrowing});
                break;
            }
        }
        for (auto const& rejection : decision.rejections)
            decided.insert(rejection.job_id);
        std::erase_if(pending, [&](auto const& job) {
            return decided.contains(job.job_id);
        });
        now += std::chrono::seconds(1);
        // The first rounds, which place many jobs, only fill the fleet and are
        // not measured.
        if (decided.size() * 20 < static_cast<std::size_t>(queued) ||
            ++filling_rounds > 20)
            round_times_us.push_back(round_us);
    }
    return quantile(round_times_us, 0.5);
}

} // namespace sequoiaroute::benchmarks
