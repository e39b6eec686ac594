#pragma once

#include "policy/scheduling.hpp"

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

/// Expected run time of a job.
struct run_time_estimate
{
    core::duration median;
    core::duration percentile_90;
};

/// Run times observed for each customer and kind of work. Declared run times
/// are not used, because they are wrong by large factors.
class run_time_history
{
public:
    /// Most recent run times kept per customer and kind: enough for a 90th
    /// percentile, few enough to follow a change within days.
    static constexpr std::size_t max_samples = 40;
    /// Estimate while no run time of any kind was recorded.
    static constexpr run_time_estimate default_estimate{
        std::chrono::minutes(30), std::chrono::hours(4)};

    /// Records the run time of a job that finished.
    void record(job_view const& job, core::duration run_time);

    /// @return the estimate for the job's customer and kind, otherwise the one
    ///         for all jobs, otherwise the default
    run_time_estimate estimate(job_view const& job) const;

    /// @param job a running job
    /// @param elapsed its run time so far
    /// @return its expected remaining run time; a job beyond the 90th
    ///         percentile is expected to run as long again, because run times
    ///         are heavy-tailed
    core::duration expected_remaining(job_view const& job,
                                      core::duration elapsed) const;

private:
    /// A ring buffer of run times and the estimate derived from them.
    struct samples
    {
        std::vector<core::duration> values;
        std::size_t next_index = 0; ///< position of the next value
        run_time_estimate estimate = default_estimate;

        void add(core::duration value);
    };

    using key = std::pair<std::string, std::string>;
    using key_view = std::pair<std::string_view, std::string_view>;

    struct key_hash
    {
        using is_transparent = void;
        std::size_t operator()(key_view const& item) const
        {
            return absl::Hash<key_view>{}(item);
        }
    };

    struct key_equal
    {
        using is_transparent = void;
        bool operator()(key_view const& left, key_view const& right) const
        {
            return left == right;
        }
    };

    absl::flat_hash_map<key, samples, key_hash, key_equal> samples_by_kind_;
    samples all_samples_;
};

} // namespace sequoiaroute::policy
