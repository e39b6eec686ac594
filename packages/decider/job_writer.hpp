#pragma once

#include "decider/attempt_observer.hpp"
#include "decider/job_store.hpp"
#include "decider/open_job.hpp"
#include "policy/job_transitions.hpp"

#include <functional>

namespace sequoiaroute::decider {

/// Writes state changes of open jobs to their rows and updates the jobs in
/// memory. The caller holds the job's operation mutex.
class job_writer
{
public:
    /// Releases the reservations of an attempt.
    /// @param record the job with the placed members
    /// @param term the term under which to send the release
    using release_function =
        std::function<void(policy::job_record const&, std::uint64_t term)>;

    /// @param store reads and writes job rows
    /// @param clock the clock of this process
    /// @param observer is notified of committed changes
    /// @param release called after an uncommitted attempt was abandoned
    job_writer(job_store& store, core::clock const& clock,
               attempt_observer& observer, release_function release);

    /// Resolves a write whose outcome is unknown, and reads the row again if it
    /// may have changed.
    /// @return whether the job in memory agrees with its row
    bool reconcile(open_job& job);

    /// Commits a state change.
    /// @param job the job
    /// @param change the record to write; if it is an error, it is logged and
    ///        nothing is written
    /// @return whether the job has changed, by this write or by that of another
    ///         entry; false also while the outcome is unknown
    bool persist(open_job& job, policy::job_transitions::change const& change);

private:
    /// Reads the row again.
    /// @return whether the job was updated from the row
    bool refresh(open_job& job);
    /// Commits the job's pending write.
    /// @return as persist()
    bool commit_pending(open_job& job);
    /// Updates the job in memory after a committed write.
    /// @param before the job before the write
    /// @param next the record as written
    void handle_committed(open_job& job, job_data const& before,
                          policy::job_record const& next);
    /// Notifies the observer, and releases the reservations of an abandoned
    /// attempt.
    void notify_observer(job_data const& before,
                         policy::job_record const& next);

    job_store& store_;
    core::clock const& clock_;
    attempt_observer& observer_;
    release_function release_;
};

} // namespace sequoiaroute::decider
