#pragma once

#include "decider/open_job.hpp"

#include <string>

namespace sequoiaroute::decider {

/// Is notified of the events of attempts. Called from several threads.
class attempt_observer
{
public:
    virtual ~attempt_observer() = default;

    /// The resources in use on a worker have changed.
    virtual void on_worker_changed(std::string const& worker_id) = 0;

    /// A reservation was refused or not answered, so the decider's view of the
    /// worker may be outdated.
    virtual void on_reservation_refused(std::string const& worker_id) = 0;

    /// A release was not answered, so the resources stay in use until the
    /// reservation expires at the agent.
    /// @param worker_id the worker with the reservation
    /// @param reserved the resources of the reservation
    virtual void on_release_unconfirmed(std::string const& worker_id,
                                        policy::resources const& reserved) = 0;

    /// A member failed, and the failure was written to the job's row.
    /// @param record the job as written
    /// @param worker_id the worker of the failed member
    virtual void on_member_failed(policy::job_record const& record,
                                  std::string const& worker_id) = 0;

    /// An attempt ended or a job became final, and the row was written.
    /// @param data the job before the write
    /// @param next the record as written
    virtual void on_end(job_data const& data,
                        policy::job_record const& next) = 0;
};

} // namespace sequoiaroute::decider
