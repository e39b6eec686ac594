#pragma once

#include "core/codec.hpp"
#include "policy/scheduling.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiaroute::policy {

/// The states of a job. The last six are final.
enum class job_state
{
    queued,
    reserving, ///< room is being reserved for an attempt
    running,   ///< the attempt is committed
    stopping,  ///< the attempt is being stopped
    finished,
    failed,
    cancelled,
    rejected,
    fails_everywhere,
    outcome_unknown,
};

NLOHMANN_JSON_SERIALIZE_ENUM(job_state,
                             {{job_state::queued, "queued"},
                              {job_state::reserving, "reserving"},
                              {job_state::running, "running"},
                              {job_state::stopping, "stopping"},
                              {job_state::finished, "finished"},
                              {job_state::failed, "failed"},
                              {job_state::cancelled, "cancelled"},
                              {job_state::rejected, "rejected"},
                              {job_state::fails_everywhere, "fails_everywhere"},
                              {job_state::outcome_unknown, "outcome_unknown"}})

/// Where one member of an attempt was placed.
struct placed_member
{
    std::string worker_id;
    std::string agent_address;
    std::string agent_incarnation;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(placed_member, worker_id, agent_address,
                                   agent_incarnation)
};

/// What a caller asks for.
struct job_submission
{
    std::string job_id; ///< made by the client before it sends
    std::string customer;
    std::string kind;
    resources member;
    int members = 1;
    adjacency within = adjacency::any;
    bool is_urgent = false;
    bool is_unrepeatable = false;
    std::string command; ///< opaque; handed to the task runtime
    std::string input;   ///< stored as an object
    std::int64_t declared_run_time_ms = 0;
    std::int64_t deadline_ms = 0; ///< from submission; 0 means none
};

/// The row jobs/ID of the table.
struct job_record
{
    std::string job_id;
    std::string customer;
    std::string kind;
    resources member;
    int members = 1;
    adjacency within = adjacency::any;
    bool is_urgent = false;
    bool is_unrepeatable = false;
    std::string command;
    std::string input_key;
    std::string submission_digest; ///< tells a reused id from a repetition
    std::int64_t declared_run_time_ms = 0;
    std::int64_t submitted_at_unix_ms = 0; ///< wall clock, shown to people
    std::int64_t deadline_ms = 0;
    job_state state = job_state::queued;
    std::uint64_t attempt = 0; ///< raised with every reservation
    std::uint64_t term = 0;    ///< of the decider that made the attempt
    std::vector<placed_member> placed;
    bool is_borrowing = false;
    bool is_cancel_requested = false;
    std::vector<std::string> failed_workers; ///< one for each failed attempt
    std::vector<std::string> checkpoints;    ///< the latest of each member
    std::string result_key;
    std::uint16_t code = 0; ///< result code of a final state
    std::string reason;     ///< sentence for a person

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(job_record, job_id, customer, kind, member,
                                   members, within, is_urgent, is_unrepeatable,
                                   command, input_key, submission_digest,
                                   declared_run_time_ms, submitted_at_unix_ms,
                                   deadline_ms, state, attempt, term, placed,
                                   is_borrowing, is_cancel_requested,
                                   failed_workers, checkpoints, result_key,
                                   code, reason)
};

/// @param state the state to test
/// @return whether a job in this state never changes again
inline bool is_final(job_state state)
{
    return state >= job_state::finished;
}

} // namespace sequoiaroute::policy
