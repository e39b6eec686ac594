#pragma once

#include "peers/link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::support {

/// Simulates the agents of three workers. Records the attempts that were
/// started, and counts how often a task started while another attempt of its
/// job was running.
class fake_agents
{
public:
    enum class task_state
    {
        reserved,
        running,
        ended,
        tombstone, ///< released, or stopped before it started; never starts
    };

    struct task
    {
        task_state state = task_state::reserved;
        peers::member_report report;
        bool is_reported = false; ///< the decider has accepted its report
    };

    struct agent
    {
        std::string incarnation = "i1";
        bool is_unreachable = false; ///< requests do not arrive
        bool is_lost = false;        ///< certainly runs nothing any more
        bool refuses = false;        ///< refuses reservations
        int lost_responses = 0; ///< of so many requests the response is lost
        bool finishes = true;   ///< started tasks finish at once
        bool fails = false;     ///< started tasks fail at once
        std::uint64_t term = 0; ///< the newest term; older ones are refused
        std::map<std::string, task> tasks;
    };

    fake_agents() { agents = {{"w0", {}}, {"w1", {}}, {"w2", {}}}; }

    /// Handles a request to an agent.
    core::result<peers::answer_envelope> call(std::string const& address,
                                              std::string_view kind,
                                              core::json const& body)
    {
        std::lock_guard const lock(mutex_);
        auto& agent = agents[address];
        if (agent.is_unreachable || agent.is_lost)
            return core::error{core::result_code::timed_out, "no response"};
        auto answer = handle(address, agent, kind, body);
        if (agent.lost_responses > 0 && agent.lost_responses-- > 0)
            return core::error{core::result_code::timed_out, "response lost"};
        return answer;
    }

    /// Passes the reports of all ended tasks to the decider. A report that it
    /// does not accept is passed again by the next call.
    void report_to(
        std::function<core::result_code(peers::member_report const&)> const&
            decider)
    {
        for (auto const& report : unreported()) {
            // The mutex is not held: the decider may call the agents.
            bool const is_reported = decider(report) == core::result_code::ok;
            std::lock_guard const lock(mutex_);
            auto const name =
                task_key(report.job_id, report.attempt, report.member);
            agents[report.worker_id].tasks[name].is_reported = is_reported;
        }
    }

    /// @return how many members of a job are reserved or running
    int count_active(std::string const& job_id)
    {
        std::lock_guard const lock(mutex_);
        int count = 0;
        for (auto const& [id, agent] : agents) {
            for (auto const& [key, task] : agent.tasks) {
                if (!agent.is_lost && task.report.job_id == job_id &&
                    task.state <= task_state::running)
                    ++count;
            }
        }
        return count;
    }

    /// Ends the tasks of an agent and gives it a new incarnation.
    void restart(std::string const& id)
    {
        agents[id].tasks.clear();
        agents[id].incarnation += "'";
    }

    std::map<std::string, agent, std::less<>> agents;
    std::map<std::string, std::set<std::uint64_t>> started; ///< attempts by job
    std::vector<peers::task_stop> stops; ///< requests to stop tasks, in order
    /// How often a task started while another attempt of its job was running.
    int overlap_count = 0;

private:
    /// @return the reports of ended tasks that the decider has not accepted
    std::vector<peers::member_report> unreported()
    {
        std::lock_guard const lock(mutex_);
        std::vector<peers::member_report> reports;
        for (auto const& [id, agent] : agents) {
            if (agent.is_unreachable || agent.is_lost)
                continue;
            for (auto const& [name, task] : agent.tasks) {
                if (task.state == task_state::ended && !task.is_reported)
                    reports.push_back(task.report);
            }
        }
        return reports;
    }

    static std::string task_key(std::string const& job, std::uint64_t attempt,
                                int member)
    {
        return job + '.' + std::to_string(attempt) + '.' +
               std::to_string(member);
    }

    peers::answer_envelope handle(std::string const& id, agent& agent,
                                  std::string_view kind, core::json const& body)
    {
        auto const term = body["term"].get<std::uint64_t>();
        if (term < agent.term)
            return answer(agent, core::result_code::stale_term);
        agent.term = term;
        if (kind == peers::message_kind::reserve)
            return reserve(id, agent, body);
        if (kind == peers::message_kind::start)
            return start(id, agent, body);
        return end(agent, kind, body);
    }

    static peers::answer_envelope
    answer(agent const& agent, core::result_code code, core::json body = {})
    {
        return {static_cast<std::uint16_t>(code), "", agent.incarnation,
                std::move(body)};
    }

    /// @return the task of a command, which is added if it does not exist
    task& find_or_add_task(std::string const& id, agent& agent,
                           peers::task_command const& command)
    {
        auto& task = agent.tasks[task_key(command.job_id, command.attempt,
                                          command.member)];
        task.report.worker_id = id;
        task.report.job_id = command.job_id;
        task.report.attempt = command.attempt;
        task.report.member = command.member;
        return task;
    }

    peers::answer_envelope reserve(std::string const& id, agent& agent,
                                   peers::task_command const& command)
    {
        auto const already_exists = agent.tasks.contains(
            task_key(command.job_id, command.attempt, command.member));
        if (agent.refuses)
            return answer(agent, core::result_code::refused_not_run);
        auto const& task = find_or_add_task(id, agent, command);
        return answer(agent,
                      already_exists && task.state != task_state::reserved
                          ? core::result_code::refused_not_run
                          : core::result_code::ok);
    }

    peers::answer_envelope start(std::string const& id, agent& agent,
                                 peers::task_command const& command)
    {
        auto& task = find_or_add_task(id, agent, command);
        if (task.state == task_state::tombstone)
            return answer(agent, core::result_code::refused_not_run);
        if (task.state != task_state::reserved)
            return answer(agent, core::result_code::ok);
        count_overlaps(command);
        started[command.job_id].insert(command.attempt);
        task.state = task_state::running;
        task.report.state = peers::member_state::running;
        if (agent.fails || agent.finishes) {
            task.state = task_state::ended;
            task.report.state = agent.fails ? peers::member_state::failed
                                            : peers::member_state::finished;
            task.report.output = "output of " + std::to_string(command.member);
            task.report.detail = "exit 1";
        }
        return answer(agent, core::result_code::ok);
    }

    void count_overlaps(peers::task_command const& command)
    {
        for (auto const& [id, other] : agents) {
            for (auto const& [name, task] : other.tasks) {
                if (!other.is_lost && task.state == task_state::running &&
                    task.report.job_id == command.job_id &&
                    task.report.attempt != command.attempt)
                    ++overlap_count;
            }
        }
    }

    /// Handles a request to stop or release a task.
    peers::answer_envelope end(agent& agent, std::string_view kind,
                               peers::task_stop const& stop)
    {
        if (kind == peers::message_kind::stop)
            stops.push_back(stop);
        auto const name = task_key(stop.job_id, stop.attempt, stop.member);
        auto const found = agent.tasks.find(name);
        if (found == agent.tasks.end()) {
            agent.tasks[name].state = task_state::tombstone;
            return answer(agent, core::result_code::unknown_attempt);
        }
        auto& task = found->second;
        if (task.state == task_state::reserved)
            task.state = task_state::tombstone;
        if (task.state == task_state::tombstone)
            return answer(agent, core::result_code::unknown_attempt);
        if (task.state == task_state::running) {
            task.state = task_state::ended;
            task.report.state = peers::member_state::stopped;
            task.report.checkpoint = stop.wants_checkpoint ? "checkpoint" : "";
        }
        return answer(agent, core::result_code::ok, task.report);
    }

    std::mutex mutex_;
};

/// Links to the fake agents that are cut once the remaining operations are used
/// up.
class disconnectable_links final : public peers::link_pool
{
public:
    explicit disconnectable_links(fake_agents& agents) : agents_(agents) {}

    std::shared_ptr<peers::link> link_to(std::string_view address) override
    {
        return std::make_shared<disconnectable_link>(*this,
                                                     std::string(address));
    }

    std::shared_ptr<int> remaining_operations; ///< unlimited if null

private:
    class disconnectable_link final : public peers::link
    {
    public:
        disconnectable_link(disconnectable_links& pool, std::string address)
            : pool_(pool), address_(std::move(address))
        {
        }
        core::result<peers::answer_envelope>
        call(std::string_view kind, core::json const& body,
             core::duration /*time_limit*/) override
        {
            {
                std::lock_guard const lock(pool_.mutex_);
                if (pool_.remaining_operations &&
                    *pool_.remaining_operations <= 0)
                    return core::error{core::result_code::unreachable,
                                       "disconnected"};
                if (pool_.remaining_operations)
                    --*pool_.remaining_operations;
            }
            return pool_.agents_.call(address_, kind, body);
        }

    private:
        disconnectable_links& pool_;
        std::string address_;
    };

    fake_agents& agents_;
    std::mutex mutex_;
};

} // namespace sequoiaroute::support
