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

/// Serves callers from the rows of the table. Every entry has one.
class table_job_service final : public job_service
{
public:
    /// The most rows of one transaction.
    static constexpr std::size_t rows_per_transaction = 50;
    static constexpr int members_limit = 64;
    /// Agents report every 5 s; before that an entry knows only a part of the
    /// fleet and cannot say that a job never fits.
    static constexpr core::duration settling_time = std::chrono::seconds(15);
    /// The number of queued jobs is counted anew after this time, because
    /// counting reads every row.
    static constexpr core::duration count_lifetime = std::chrono::seconds(5);

    /// @param rows the rows of the table
    /// @param objects where inputs and results are stored
    /// @param rules the rules in force
    /// @param directory the known workers
    /// @param contact the way to the decider
    /// @param clock the clock of this process
    table_job_service(platform::recovering_writer& rows,
                      platform::object_store& objects,
                      policy::rules_provider& rules,
                      targets::target_directory& directory,
                      decider_client& contact, core::clock const& clock);

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
    core::result<job_status> repeated(platform::row row,
                                      policy::job_record const& record);
    core::status check_admission(policy::job_submission const& submission);
    core::status check_fit(policy::job_submission const& submission);
    core::status check_queue(std::string const& customer);
    core::status replace(platform::row const& row,
                         policy::job_record const& next);
    core::status store_input(policy::job_record const& record,
                             std::string const& input);
    core::result<job_status> create(policy::job_record const& record);
    core::error not_run(std::string const& job_id, core::error const& cause);
    job_status status_of(policy::job_record record);
    std::string fetch_result(job_status& status);
    core::result<stored_job> read(std::string_view customer,
                                  std::string_view job_id);
    core::result<std::vector<stored_job>>
    queued_jobs(std::string_view customer);
    core::result<std::size_t> cancel_batch(std::span<stored_job> jobs);
    core::result<std::size_t> cancel_one_queued(stored_job job);

    platform::recovering_writer& rows_;
    platform::object_store& objects_;
    policy::rules_provider& rules_;
    targets::target_directory& directory_;
    decider_client& contact_;
    core::clock const& clock_;
    core::time_point const created_at_;
    std::mutex mutex_;
    std::map<std::string, int, std::less<>> queued_;
    core::time_point counted_at_;
    bool is_counted_ = false;
    std::set<std::string, std::less<>> unknown_submissions_;
};

} // namespace sequoiaroute::decider
