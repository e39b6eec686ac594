#pragma once

#include "decider/open_job.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::decider {

/// The open jobs in the decider's memory, by id. Thread-safe.
class job_registry
{
public:
    using job_pointer = std::shared_ptr<open_job>;

    /// @param clock the clock of this process; must outlive this object
    explicit job_registry(core::clock const& clock) : clock_(clock) {}

    /// Adds a job that was read from the table. If the job is already tracked
    /// and its row version differs, only marks its row as stale.
    /// @param job the job as read
    /// @param is_recovery whether another decider began its attempt
    /// @param term the term of this decider
    /// @return the tracked job
    job_pointer merge(stored_job job, bool is_recovery, std::uint64_t term);

    /// @return the job, or null if it is not tracked
    job_pointer find(std::string_view job_id) const;

    /// @return all tracked jobs, ordered by id
    std::vector<job_pointer> jobs() const;

    void remove(std::string_view job_id);
    void clear();

private:
    core::clock const& clock_;
    mutable std::mutex mutex_;
    std::map<std::string, job_pointer, std::less<>> jobs_;
};

} // namespace sequoiaroute::decider
