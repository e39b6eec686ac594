#pragma once

#include "core/clock.hpp"
#include "decider/decider_client.hpp"
#include "decider/job_service.hpp"
#include "decider/job_store.hpp"
#include "platform/object_store.hpp"
#include "platform/recovering_writer.hpp"
#include "policy/rules_provider.hpp"
#include "targets/target_directory.hpp"

#include <map>
#include <mutex>
#include <set>
#include <span>

namespace sequoiaroute::decider {

/// Implements the job API on the rows of the table. Every entry has one.
/// Thread-safe.
class table_job_service final : public job_service
{
public:
    /// The most rows that are written in one transaction.
    static constexpr std::size_t rows_per_transaction = 50;
    /// The most members of a gang.
    static constexpr int members_limit = 64;
    /// How long after its start an entry admits jobs without checking that they
    /// fit the fleet. Agents report every 5 s, so it knows only part of the
    /// fleet at first.
    static constexpr core::duration fleet_discovery_time =
        std::chrono::seconds(15);
    /// How long the counted numbers of queued jobs are used; counting reads
    /// every job row.
    static constexpr core::duration queue_count_lifetime =
        std::chrono::seconds(5);

    /// All parameters must outlive this object.
    /// @param rows reads and writes the table
    /// @param objects stores inputs and results
    /// @param rules the rules in force
    /// @param directory the known workers
    /// @param client calls the decider
    /// @param clock the clock of this process
    table_job_service(platform::recovering_writer& rows,
                      platform::object_store& objects,
                      policy::rules_provider& rules,
                      targets::target_directory& directory,
                      decider_client& client, core::clock const& clock);

    core::result<job_status>
    submit(policy::job_submission const& submission) override;
    core::result<job_status> status(std::string_view customer,
                                    std::string_view job_id) override;
    core::result<std::vector<job_status>>
    list(std::string_view customer) override;
    core::result<job_status> cancel(std::string_view customer,
                                    std::string_view job_id) override;
    core::result<std::size_t> cancel_queued(std::string_view customer) override;

private:
    /// Answers a submission whose job id already has a row.
    /// @param row the existing row
    /// @param record the record of the new submission
    core::result<job_status>
    answer_resubmission(platform::row row, policy::job_record const& record);
    /// @return ok, or the reason why a new job is not admitted
    core::status check_admission(policy::job_submission const& submission);
    /// @return ok, or job_never_fits if no state of the fleet could run the job
    core::status check_fit(policy::job_submission const& submission);
    /// @return ok; limit_exceeded_not_run if the customer has too many queued
    ///         jobs; not_run_store_unavailable if they cannot be counted
    core::status check_queue_limit(std::string const& customer);
    /// Writes a record on condition that the row still has the given version.
    core::status write_if_unchanged(platform::row const& row,
                                    policy::job_record const& next);
    /// Stores a job's input as an object if it has one.
    core::status store_input(policy::job_record const& record,
                             std::string const& input);
    /// Writes the row of a new job and notifies the decider.
    core::result<job_status> create(policy::job_record const& record);
    /// @return the error of a submission that was not accepted, or
    ///         write_unknown if an earlier try with the same id may have been
    core::error not_accepted_error(std::string const& job_id,
                                   core::error const& cause);
    /// @return the job with its status text; asks the decider for the waiting
    ///         note of a queued job
    job_status status_of(policy::job_record record);
    /// @return the content of the job's result object; empty if it cannot be
    ///         read, which is added to the status text
    std::string fetch_result(job_status& status);
    /// @return the job; unknown_job if it belongs to another customer
    core::result<stored_job> read(std::string_view customer,
                                  std::string_view job_id);
    core::result<std::vector<stored_job>>
    queued_jobs(std::string_view customer);
    /// Cancels queued jobs in one transaction; after a conflict, recursively in
    /// halves.
    /// @return the number of jobs cancelled
    core::result<std::size_t> cancel_batch(std::span<stored_job> jobs);
    /// @return 1 if the job was cancelled; 0 if it was no longer queued or
    ///         changed during every try
    core::result<std::size_t> cancel_one_queued(stored_job job);

    platform::recovering_writer& rows_;
    platform::object_store& objects_;
    policy::rules_provider& rules_;
    targets::target_directory& directory_;
    decider_client& decider_;
    core::clock const& clock_;
    core::time_point const created_at_;
    std::mutex mutex_; ///< guards the members below
    std::map<std::string, int, std::less<>> queued_job_counts_; ///< by customer
    core::time_point queue_counted_at_;
    bool has_queue_count_ = false;
    /// Ids of the submissions whose last write has an unknown outcome.
    std::set<std::string, std::less<>> unknown_outcome_job_ids_;
};

} // namespace sequoiaroute::decider
