#include "policy/load.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include <absl/random/discrete_distribution.h>
#include <absl/random/distributions.h>
#include <fmt/format.h>

namespace sequoiaroute::benchmarks {

namespace {

/// Sigma of the log-normal ratio of declared to actual run times: in either
/// direction, one in six is wrong by a factor of more than four.
constexpr double declared_run_time_sigma = 1.5;
constexpr double cancelled_share = 0.04;
constexpr double checkpointing_share = 0.8;
constexpr double mean_minutes_between_bursts = 300;
constexpr double mean_burst_minutes = 30;
constexpr double minutes_per_day = 24 * 60;
/// Limit of run times; tasks that run longer are services.
constexpr double max_run_minutes = 3 * minutes_per_day;

core::duration from_minutes(double count)
{
    return core::duration(static_cast<std::int64_t>(count * 60'000));
}

/// Generates arrivals with alternating phases of normal and burst arrival rate.
/// The arrivals within a phase and the phase changes are Poisson processes.
class arrival_generator
{
public:
    arrival_generator(load const& load, std::uint64_t seed)
        : load_(load), random_engine_(seed)
    {
        std::vector<double> shares;
        for (auto const& item : load.classes)
            shares.push_back(item.share);
        class_distribution_ = absl::discrete_distribution<std::size_t>(
            shares.begin(), shares.end());
        customer_distribution_ = absl::discrete_distribution<std::size_t>(
            load.customer_shares.begin(), load.customer_shares.end());
        for (auto const& [name, rule] : load.rules.customers)
            customer_names_.push_back(name);
    }

    /// @return the arrivals in order of submission. To be called once.
    std::vector<arrival> generate()
    {
        add_initial_arrivals();
        double minute = 0;
        double next_change_minute =
            absl::Exponential(random_engine_, 1 / mean_minutes_between_bursts);
        bool is_burst = false;
        auto const burst_time_share =
            mean_burst_minutes /
            (mean_burst_minutes + mean_minutes_between_bursts);
        auto const jobs_per_minute =
            load_.jobs_per_hour / 60 /
            (1 + burst_time_share * (load_.burst_factor - 1));
        while (minute < load_.days * minutes_per_day) {
            auto const minutes_to_next = absl::Exponential(
                random_engine_, is_burst ? jobs_per_minute * load_.burst_factor
                                         : jobs_per_minute);
            if (minute + minutes_to_next > next_change_minute) {
                minute = next_change_minute;
                is_burst = !is_burst;
                next_change_minute += absl::Exponential(
                    random_engine_,
                    1 / (is_burst ? mean_burst_minutes
                                  : mean_minutes_between_bursts));
                continue;
            }
            minute += minutes_to_next;
            add_arrival(load_.classes[class_distribution_(random_engine_)],
                        minute, false);
        }
        std::stable_sort(arrivals_.begin(), arrivals_.end(),
                         [](auto const& left, auto const& right) {
                             return left.job.submitted_at <
                                    right.job.submitted_at;
                         });
        return std::move(arrivals_);
    }

private:
    /// Adds the services and the jobs that exist at the start.
    void add_initial_arrivals()
    {
        job_class service;
        service.kind = "service";
        service.member = {2, 6'000, 0};
        service.median_minutes = max_run_minutes * 2;
        service.sigma = 0;
        for (int number = 0; number < load_.services; ++number)
            add_arrival(service, 0, true);
        for (int tasks = 0; tasks < load_.running_at_start;) {
            // Halves the initial jobs with accelerators, because they all
            // arrive at the same time.
            auto const& item =
                load_.classes[class_distribution_(random_engine_)];
            if (item.kind != "wide" && absl::Bernoulli(random_engine_, 0.5))
                continue;
            add_arrival(item, 0, true);
            tasks += arrivals_.back().job.members;
        }
    }

    /// @return one of the values, each with the same probability
    template <class Value>
    Value pick_random(std::vector<Value> const& values)
    {
        return values[absl::Uniform<std::size_t>(random_engine_, 0,
                                                 values.size())];
    }

    /// Adds a random job of a class.
    /// @param item the class
    /// @param minute the submission time in minutes; an overnight job arrives
    ///        in the evening of the same day instead
    /// @param is_at_start true for initial jobs, which are never cancelled
    void add_arrival(job_class const& item, double minute, bool is_at_start)
    {
        arrival new_arrival;
        auto& job = new_arrival.job;
        job.job_id = fmt::format("j{}", arrivals_.size());
        job.customer = customer_names_[customer_distribution_(random_engine_)];
        job.kind = item.kind;
        job.members = pick_random(item.members);
        job.member = item.member;
        job.member.accelerators = pick_random(item.accelerators);
        if (item.cores_per_accelerator > 0) {
            job.member.cores =
                item.cores_per_accelerator * job.member.accelerators;
            job.member.memory_megabytes = 24'000 * job.member.accelerators;
        }
        job.within = item.within;
        job.is_urgent = item.is_urgent;
        job.is_unrepeatable = item.is_unrepeatable;
        if (item.is_overnight)
            minute = std::floor(minute / minutes_per_day) * minutes_per_day +
                     absl::Uniform(random_engine_, 18.0 * 60, 22.0 * 60);
        job.submitted_at = core::time_point(from_minutes(minute));
        job.deadline =
            item.deadline_hours > 0
                ? job.submitted_at + from_minutes(60 * item.deadline_hours)
                : core::time_point::max();
        auto const run_minutes = std::clamp(
            item.median_minutes *
                std::exp(absl::Gaussian(random_engine_, 0.0, item.sigma)),
            0.2, item.kind == "service" ? 1e9 : max_run_minutes);
        new_arrival.run_time = from_minutes(run_minutes);
        job.declared_run_time = from_minutes(
            run_minutes * std::exp(absl::Gaussian(random_engine_, 0.0,
                                                  declared_run_time_sigma)));
        if (!is_at_start && absl::Bernoulli(random_engine_, cancelled_share))
            new_arrival.cancelled_after =
                from_minutes(absl::Exponential(random_engine_, 1 / 60.0));
        new_arrival.can_checkpoint =
            absl::Bernoulli(random_engine_, checkpointing_share);
        arrivals_.push_back(std::move(new_arrival));
    }

    load const& load_;
    std::mt19937_64 random_engine_;
    absl::discrete_distribution<std::size_t> class_distribution_;
    absl::discrete_distribution<std::size_t> customer_distribution_;
    std::vector<std::string> customer_names_;
    std::vector<arrival> arrivals_;
};

} // namespace

std::vector<arrival> generate_arrivals(load const& load, std::uint64_t seed)
{
    return arrival_generator(load, seed).generate();
}

} // namespace sequoiaroute::benchmarks
