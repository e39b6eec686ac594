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
    int puts = 0;
    std::map<std::string, std::string, std::less<>> objects;

private:
    std::mutex mutex_;
};

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

/// A directory that knows the fake agents.
class agent_directory final : public targets::target_directory
{
public:
    explicit agent_directory(fake_agents& agents) : agents_(agents) {}

    std::vector<targets::known_target>
    targets(peers::target_kind /*kind*/) const override
    {
        std::vector<targets::known_target> known;
        for (auto const& [id, agent] : agents_.agents) {
            targets::known_target target;
            target.report.target_id = id;
            target.report.address = id;
            target.report.incarnation = agent.incarnation;
            target.report.kind = peers::target_kind::worker;
            target.report.total = {64, 1000, 8};
            target.is_suspect = agent.is_unreachable;
            known.push_back(target);
        }
        return known;
    }
    void note_contact(std::string_view /*target_id*/) override {}
    void note_failure(std::string_view /*target_id*/) override {}
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

/// What all entries share.
struct decider_environment : decider::decider_client
{
    decider_environment() { clock.advance(std::chrono::seconds(20)); }

    decider::table_job_service& jobs()
    {
        if (!service_)
            service_ = std::make_unique<decider::table_job_service>(
                rows, objects, rules, directory, *this, clock);
        return *service_;
    }

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
    std::string waiting_text;
    int notices = 0;
    platform::recovering_writer rows{table,
                                     {.incarnation = "test",
                                      .time_limit = core::duration(20),
                                      .retry_pause = core::duration(1)}};

private:
    void notify_change(std::string_view /*job_id*/) override { ++notices; }
    std::string waiting_note(std::string_view /*job_id*/) override
    {
        return waiting_text;
    }

    std::unique_ptr<decider::table_job_service> service_;
};

/// First fit that also evicts what a test names, and that can reject.
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
        ends.push_back(has_succeeded);
    }

    std::vector<policy::eviction> evictions;
    std::vector<bool> ends;

private:
    policy::first_fit_policy first_fit_;
};

/// One entry that may become the decider. Its ways to the table and to the
/// agents can be cut, as if it had died or were paused.
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

    /// Lets time pass in rounds of 200 ms; agents report in each round.
    void run(core::duration span)
    {
        for (core::duration passed{}; passed < span;
             passed += decider::decider_loop::round_period) {
            environment_.clock.advance(decider::decider_loop::round_period);
            lease_.tick();
            loop_.tick();
            if (!budget_ || *budget_ > 0)
                environment_.agents.report_to([this](auto const& report) {
                    return loop_.handle_report(report);
                });
        }
    }

    /// Cuts the entry off after a number of operations; zero cuts it now.
    void disconnect_after(int operations)
    {
        budget_ = std::make_shared<int>(operations);
        table_.budget = budget_;
        links_.budget = budget_;
    }
    void reconnect()
    {
        budget_.reset();
        table_.budget.reset();
        links_.budget.reset();
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
                .retry_pause = core::duration(1)};
    }

    decider_environment& environment_;
    std::shared_ptr<int> budget_;
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
