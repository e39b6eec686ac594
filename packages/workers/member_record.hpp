#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace sequoiaroute::workers {

/// Identifies one member of one attempt of a job.
struct member_key
{
    std::string job_id;
    std::uint64_t attempt = 0;
    int member = 0;

    bool operator==(member_key const&) const = default;
    bool operator<(member_key const& other) const
    {
        return std::tie(job_id, attempt, member) <
               std::tie(other.job_id, other.attempt, other.member);
    }

    /// @return the id of the member's task in the runtime: JOB.ATTEMPT.MEMBER
    std::string task_id() const
    {
        return job_id + "." + std::to_string(attempt) + "." +
               std::to_string(member);
    }

    /// Parses the id of a task.
    /// @param task_id the id of a task in the runtime
    /// @return the member, or nullopt if the id is not that of a member's task
    static std::optional<member_key> from_task_id(std::string_view task_id)
    {
        member_key key;
        auto const parse_last_number = [&](auto& number) {
            auto const dot = task_id.rfind('.');
            if (dot == std::string_view::npos)
                return false;
            auto const digits = task_id.substr(dot + 1);
            auto const* const end = digits.data() + digits.size();
            auto const parsed = std::from_chars(digits.data(), end, number);
            task_id = task_id.substr(0, dot);
            return parsed.ec == std::errc() && parsed.ptr == end;
        };
        if (!parse_last_number(key.member) || !parse_last_number(key.attempt))
            return std::nullopt;
        key.job_id = std::string(task_id);
        return key;
    }
};

/// The phases of a member at its agent. dump() shows them as numbers.
enum class member_phase
{
    reserved, ///< resources are reserved, the task is not started
    starting, ///< the call that starts the task is in progress
    running,
    stopping, ///< until the runtime confirms the end of the task
    ended,
};

/// One member of an attempt at this agent.
struct member_record
{
    peers::task_command command;
    member_phase phase = member_phase::reserved;
    /// How the member ended; while it is stopping, the state to report if the
    /// task does not end by itself.
    peers::member_state end_state = peers::member_state::stopped;
    std::string output;     ///< of a finished task
    std::string checkpoint; ///< key of the latest checkpoint, empty if none
    std::string detail;     ///< why the member stops or how it ended
    core::time_point reserved_at;
    core::time_point started_at; ///< when the start was requested
    core::time_point ended_at;
    /// When the last successful renewal was requested.
    core::time_point renewed_at;
    core::time_point renew_at;    ///< when the next renewal is due
    core::time_point stop_at;     ///< end of the grace period, zero if not set
    bool is_acknowledged = false; ///< an entry has received the final report
    /// An earlier process of this agent started the task. The resources that it
    /// holds are unknown.
    bool is_recovered = false;

    member_key key() const
    {
        return {command.job_id, command.attempt, command.member};
    }

    /// @return true if the task was started and its end is not confirmed yet
    bool holds_lease() const
    {
        return phase == member_phase::running ||
               phase == member_phase::stopping;
    }
};

} // namespace sequoiaroute::workers
