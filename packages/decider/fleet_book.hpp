#pragma once

#include "decider/open_job.hpp"
#include "policy/quarantine.hpp"
#include "policy/scheduling.hpp"
#include "targets/target_directory.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sequoiaroute::decider {

/// Owns what a cluster_view refers to.
struct fleet_snapshot
{
    std::vector<policy::worker_view> workers;
    std::vector<policy::placed_member> places; ///< by index of the worker
    std::vector<policy::job_view> pending;
    std::vector<policy::running_job_view> running;
};

/// @param data an open job
/// @return what a policy sees of it
policy::job_view view_of(job_data const& data);

/// Knows what the decider has in use on each worker and which workers receive
/// no work. Safe for concurrent use.
class fleet_book
{
public:
    /// A worker that refused a reservation is left out for this long, so that
    /// the next rounds try others.
    static constexpr core::duration refusal_period = std::chrono::seconds(2);
    /// Agents drop a reservation without a start after 10 s.
    static constexpr core::duration reservation_lifetime =
        std::chrono::seconds(12);

    explicit fleet_book(core::clock const& clock) : clock_(clock) {}

    void note_change(std::string const& worker_id);
    void note_refusal(std::string const& worker_id);
    void note_unconfirmed_release(std::string const& worker_id,
                                  policy::resources const& room);
    void note_failure(policy::job_record const& record,
                      std::string const& worker_id, std::size_t fleet_size);
    void note_success(std::string const& worker_id);
    void discard_failures_of_job(std::string const& job_id);

    /// Builds the view of one round.
    /// @param targets the known workers
    /// @param jobs the open jobs
    /// @return the fleet, the queue in the order of submission, and the rest
    fleet_snapshot build(std::vector<targets::known_target> const& targets,
                         std::vector<job_data> const& jobs);

    /// @return the quarantined workers
    std::vector<std::string> quarantined() const;

    /// Forgets everything but the quarantine.
    void clear();

private:
    struct unconfirmed_release
    {
        std::string worker_id;
        policy::resources room;
        core::time_point until;
    };

    /// The report after which the reported use is believed again.
    struct change
    {
        bool is_new = true;
        std::string incarnation;
        std::uint64_t sequence = 0;
    };

    void add_worker(fleet_snapshot& snapshot,
                    targets::known_target const& target,
                    policy::resources const& used);
    bool is_report_current(peers::target_report const& report);
    std::map<std::string, policy::resources>
    used_by(std::vector<job_data> const& jobs);

    core::clock const& clock_;
    mutable std::mutex mutex_;
    std::map<std::string, change> changes_;
    std::map<std::string, core::time_point> refused_until_;
    std::vector<unconfirmed_release> releases_;
    policy::quarantine quarantine_;
};

} // namespace sequoiaroute::decider
