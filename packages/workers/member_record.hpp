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

/// Names one member of one attempt of a job.
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

    /// @return the id of the member's task in the runtime
    std::string task_id() const
    {
        return job_id + "." + std::to_string(attempt) + "." +
               std::to_string(member);
    }

    /// @param task_id the id of a task in the runtime
    /// @return the member; nothing if the task is of another kind
    static std::optional<member_key> from_task_id(std::string_view task_id)
    {
        member_key key;
        auto const read_last = [&](auto& number) {
            auto const dot = task_id.rfind('.');
            if (dot == std::string_view::npos)
                return false;
            auto const digits = task_id.substr(dot + 1);
            auto const* const end = digits.data() + digits.size();
            auto const parsed = std::from_chars(digits.data(), end, number);
            task_id = task_id.substr(0, dot);
            return parsed.ec == std::errc() && parsed.ptr == end;
        };
        if (!read_last(key.member) || !read_last(key.attempt))
            return std::nullopt;
        key.job_id = std::string(task_id);
        return key;
    }
};

/// The phases of a member at its agent.
enum class member_phase
{
    reserved,
    starting, ///< the runtime is asked to start the task
    running,
    stopping, ///< waits for the grace period or the runtime's confirmation
    ended,
};

/// One member of an attempt at this agent.
struct member_record
{
    peers::task_command command;
    member_phase phase = member_phase::reserved;
    /// How the member ended, or is to end while it is stopping.
    peers::member_state end_state = peers::member_state::stopped;
    std::string output;
    std::string checkpoint; ///< the latest one that the runtime reported
    std::string detail;
    core::time_point reserved_at;
    core::time_point started_at;
    core::time_point ended_at;
    core::time_point renewed_at; ///< start of the last successful renewal
    core::time_point renew_due;
    core::time_point stop_at; ///< end of the grace period
    bool is_acknowledged = false;
    /// An earlier process of this agent started it; its room is not known.
    bool is_restored = false;

    member_key key() const
    {
        return {command.job_id, command.attempt, command.member};
    }

    bool holds_lease() const
    {
        return phase == member_phase::running ||
               phase == member_phase::stopping;
    }
};

} // namespace sequoiaroute::workers
