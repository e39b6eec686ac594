#pragma once

#include "core/counters.hpp"
#include "decider/decider_loop.hpp"
#include "decider/table_job_service.hpp"
#include "policy/first_fit_policy.hpp"
#include "support/commit_fault_table.hpp"
#include "support/fake_agents.hpp"
#include "support/manual_clock.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sequoiaroute::support {

/// Runs each task at once, so that tests are deterministic.
class inline_runner final : public decider::task_runner
{
public:
    void post(std::function<void()> task) override { task(); }
};

/// An object store in memory, which a test can make unavailable.
class memory_object_store final : public platform::object_store
{
public:
    core::status put(std::string_view key, std::string_view bytes) override
    {
        std::lock_guard const lock(mutex_);
        if (is_down)
            return core::error{core::result_code::store_unavailable, "down"};
        ++puts;
        objects[std::string(key)] = bytes;
        return core::success();
    }
    core::result<std::string> fetch(std::string_view key) override
    {
        std::lock_guard const lock(mutex_);
        auto const found = objects.find(key);
        if (is_down || found == objects.end())
            return core::error{core::result_code::not_found, "absent"};
        return found->second;
    }

    bool is_down = false;
    int puts = 0; ///< the number of successful calls of put()
    std::map<std::string, std::string, std::less<>> objects;

private:
    std::mutex mutex_;
};

/// Provides the rules that a test has set.
class fixed_rules final : public policy::rules_provider
{
public:
    std::shared_ptr<policy::rule_set const> rules() const override
    {
        return std::make_shared<policy::rule_set>(set);
    }
    core::status admission_state() const override { return core::success(); }

    policy::rule_set set;
};

/// Lists the fake agents as workers.
class agent_directory final : public targets::target_directory
{
public:
    explicit agent_directory(fake_agents& agents) : agents_(agents) {}

    std::vector<targets::known_target>
    targets(peers::target_kind /*kind*/) const override
    {
        std::vector<targets::known_target> workers;
        for (auto const& [id, agent] : agents_.agents) {
            targets::known_target target;
            target.report.target_id = id;
            target.report.address = id;
            target.report.incarnation = agent.incarnation;
            target.report.kind = peers::target_kind::worker;
            target.report.total = {64, 1000, 8};
            target.is_suspect = agent.is_unreachable;
            workers.push_back(target);
        }
        return workers;
    }
    void record_contact(std::string_view /*target_id*/) override {}
    void record_failure(std::string_view /*target_id*/) override {}
    bool is_lost(std::string_view worker_id,
                 std::string_view incarnation) const override
    {
        auto const& agent = agents_.agents.find(worker_id)->second;
        return agent.is_lost || agent.incarnation != incarnation;
    }
    std::vector<peers::entry_record> peer_entries() const override
    {
        return {};
    }

private:
    fake_agents& agents_;
};

/// Everything that the entries of a test share: the clock, the stores, the
/// rules and the agents.
struct decider_environment : decider::decider_client
{
    decider_environment() { clock.advance(std::chrono::seconds(20)); }

    decider::table_job_service& jobs()
    {
        if (!job_service_)
            job_service_ = std::make_unique<decider::table_job_service>(
                rows, objects, rules, directory, *this, clock);
        return *job_service_;
    }

    /// @param id the id of the job
    /// @param members the number of members, each of which needs one core, 1 MB
    ///                of memory and one accelerator
    policy::job_submission submission(std::string id, int members = 1)
    {
        policy::job_submission submission;
        submission.job_id = std::move(id);
        submission.customer = "press";
        submission.kind = "proof";
        submission.member = {1, 1, 1};
        submission.members = members;
        submission.command = "typeset";
        return submission;
    }

    /// @return the stored record of a job, which must exist
    policy::job_record record(std::string const& id)
    {
        return core::value(jobs().status("press", id)).record;
    }

    manual_clock clock;
    commit_fault_table table;
    memory_object_store objects;
    fixed_rules rules;
    fake_agents agents;
    agent_directory directory{agents};
    std::string waiting_text; ///< returned for every queued job
    int change_notices = 0;   ///< sent by the job service to the decider
    platform::recovering_writer rows{table,
                                     {.incarnation = "test",
                                      .time_limit = core::duration(20),
                                      .retry_delay = core::duration(1)}};

private:
    void notify_change(std::string_view /*job_id*/) override
    {
        ++change_notices;
    }
    std::string query_waiting_note(std::string_view /*job_id*/) override
    {
        return waiting_text;
    }

    std::unique_ptr<decider::table_job_service> job_service_;
};

/// The first-fit policy, with evictions added by the test.
class scripted_policy final : public policy::placement_policy
{
public:
    policy::decision decide(policy::cluster_view const& cluster,
                            core::time_point now) override
    {
        auto decision = first_fit_.decide(cluster, now);
        decision.evictions = evictions;
        evictions.clear();
        return decision;
    }
    void observe_end(policy::job_view const& job, core::duration run_time,
                     bool has_succeeded) override
    {
        first_fit_.observe_end(job, run_time, has_succeeded);
        observed_successes.push_back(has_succeeded);
    }

    std::vector<policy::eviction> evictions; ///< for the next decision only
    /// For each observed end, whether the job succeeded.
    std::vector<bool> observed_successes;

private:
    policy::first_fit_policy first_fit_;
};

/// An entry that may become the decider. It can be disconnected from the table
/// and the agents, as if it had crashed or were suspended.
class decider_entry
{
public:
    decider_entry(decider_environment& environment, std::string const& id)
        : environment_(environment), table_(environment.table),
          links_(environment.agents),
          lease_rows_(table_, options(id + ".lease")),
          job_rows_(table_, options(id + ".jobs")),
          lease_(lease_rows_, environment.clock, {id, id + ".1", id, "", ""}),
          loop_(job_rows_, lease_,
                {environment.objects, links_, environment.directory,
                 environment.rules, policy_, environment.clock, counters_,
                 runner_, runner_})
    {
    }

    /// Advances the clock in rounds of 200 ms. In each round the entry works
    /// and receives the reports of the agents.
    void run(core::duration span)
    {
        for (core::duration passed{}; passed < span;
             passed += decider::decider_loop::round_period) {
            environment_.clock.advance(decider::decider_loop::round_period);
            lease_.tick();
            loop_.tick();
            if (!remaining_operations_ || *remaining_operations_ > 0)
                environment_.agents.report_to([this](auto const& report) {
                    return loop_.handle_report(report);
                });
        }
    }

    /// Disconnects the entry after a number of commits and agent calls; zero
    /// disconnects it at once.
    void disconnect_after(int operations)
    {
        remaining_operations_ = std::make_shared<int>(operations);
        table_.remaining_operations = remaining_operations_;
        links_.remaining_operations = remaining_operations_;
    }
    void reconnect()
    {
        remaining_operations_.reset();
        table_.remaining_operations.reset();
        links_.remaining_operations.reset();
    }

    decider::decider_lease& lease() { return lease_; }
    decider::decider_loop& loop() { return loop_; }
    core::counters& counters() { return counters_; }
    scripted_policy& policy() { return policy_; }

private:
    static platform::recovering_writer_options options(std::string name)
    {
        return {.incarnation = std::move(name),
                .time_limit = core::duration(20),
                .retry_delay = core::duration(1)};
    }

    decider_environment& environment_;
    std::shared_ptr<int> remaining_operations_;
    disconnectable_table table_;
    disconnectable_links links_;
    scripted_policy policy_;
    core::counters counters_;
    inline_runner runner_;
    platform::recovering_writer lease_rows_;
    platform::recovering_writer job_rows_;
    decider::decider_lease lease_;
    decider::decider_loop loop_;
};

} // namespace sequoiaroute::support
