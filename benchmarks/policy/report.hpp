#pragma once

#include "policy/load.hpp"
#include "policy/measurements.hpp"

#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::benchmarks {

/// Writes the report of the benchmark: a Markdown page with tables, and plots.
class report
{
public:
    /// @param folder the output folder, docs/ of the repository; its folder
    ///        plots/ must exist
    explicit report(std::string folder) : folder_(std::move(folder)) {}

    /// Adds the runs of one load under one policy. The runs of a load must be
    /// added one after another.
    /// @param load the load
    /// @param policy the name of the policy
    /// @param runs the measurements, one for each seed
    void add(load const& load, std::string const& policy,
             std::vector<measurements> runs);

    /// Adds the time of a scheduling round. The times of a policy must be added
    /// one after another.
    /// @param policy the name of the policy
    /// @param workers the number of workers
    /// @param queued the number of queued jobs
    /// @param microseconds the median time of a round
    void add_round_time(std::string const& policy, int workers, int queued,
                        double microseconds);

    /// Writes policy-report.md and plots/ to the folder, and prints the page.
    /// @param seeds the number of seeds that were run
    void write(int seeds) const;

private:
    struct result
    {
        std::string policy;
        std::vector<measurements> runs;
    };

    /// The results of all policies under one load.
    struct section
    {
        load measured_load;
        std::vector<result> results;
    };

    struct round_time
    {
        std::string policy;
        int workers;
        int queued;
        double microseconds;
    };

    static std::string table(section const& section);
    std::string round_time_table() const;
    /// @return a table of selected metrics of cell_policy against the baselines
    std::string comparisons() const;
    void write_plots() const;
    void write_file(std::string const& name, std::string const& text) const;

    std::string folder_;
    std::vector<section> sections_;
    std::vector<round_time> round_times_;
};

} // namespace sequoiaroute::benchmarks
