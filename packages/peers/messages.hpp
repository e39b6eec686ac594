#pragma once

#include "core/codec.hpp"
#include "core/result_code.hpp"
#include "policy/scheduling.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the processes of the system (entries and agents), encoded
/// as MessagePack maps. Each request is sent in an envelope and each answer in
/// an answer_envelope. Fields are encoded under their own names.
///
/// An agent runs beside one target, an executor or a worker, and starts the
/// work on it. The entry that holds the decider lease is the decider, which
/// places jobs on workers.
namespace sequoiaroute::peers {

/// Carries a request.
struct envelope
{
    std::string kind;        ///< one of the names in message_kind
    std::string sender;      ///< process id of the sender
    std::string incarnation; ///< unique to this start of the sender
    std::string key;         ///< the system key that all processes share
    core::json body;         ///< the request type that belongs to the kind

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(envelope, kind, sender, incarnation, key,
                                   body)
};

/// Carries an answer.
struct answer_envelope
{
    std::uint16_t code = 0;  ///< a core::result_code; 0 is ok
    std::string message;     ///< describes the error unless the code is ok
    std::string incarnation; ///< of the process that answers
    core::json body;         ///< may be null unless the code is ok

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(answer_envelope, code, message, incarnation,
                                   body)
};

/// The values of envelope::kind. A comment names the request type in the body.
namespace message_kind {
inline constexpr char report[] = "report";           ///< target_report
inline constexpr char ping[] = "ping";               ///< no body
inline constexpr char dispatch[] = "dispatch";       ///< dispatch
inline constexpr char query[] = "query";             ///< attempt_reference
inline constexpr char fence[] = "fence";             ///< attempt_reference
inline constexpr char reserve[] = "reserve";         ///< task_command
inline constexpr char start[] = "start";             ///< task_command
inline constexpr char stop[] = "stop";               ///< task_stop
inline constexpr char release[] = "release";         ///< task_stop
inline constexpr char task_report[] = "task_report"; ///< member_report
inline constexpr char gang_beat[] = "gang_beat";     ///< gang_beat
inline constexpr char sync[] = "sync";               ///< sync_message
inline constexpr char rules[] = "rules"; ///< operators::rules_message
inline constexpr char job_changed[] = "job_changed"; ///< job_changed
inline constexpr char dump[] = "dump";               ///< no body
inline constexpr char job_note[] = "job_note";       ///< job_note_query
} // namespace message_kind

/// The kinds of targets.
enum class target_kind
{
    executor, ///< runs requests of one service
    worker,   ///< runs tasks of jobs
};

NLOHMANN_JSON_SERIALIZE_ENUM(target_kind, {{target_kind::executor, "executor"},
                                           {target_kind::worker, "worker"}})

/// The heartbeat of an agent, sent periodically to one of the entries. It
/// describes the target of the agent and its current use.
struct target_report
{
    std::string target_id;
    std::string incarnation; ///< of the agent
    std::string address;     ///< IP:PORT on which the agent listens
    target_kind kind = target_kind::executor;
    std::string data_centre;
    std::string rack;
    std::string service;        ///< of an executor; empty for a worker
    int slots = 0;              ///< executor: limit of concurrent requests
    int slots_used = 0;         ///< executor: requests in flight
    policy::resources total;    ///< worker: capacity
    policy::resources in_use;   ///< worker: held by tasks and reservations
    bool is_leaving = false;    ///< draining; accepts no new work
    std::uint64_t sequence = 0; ///< increases within an incarnation
    std::uint64_t rules_generation = 0; ///< highest that the agent received

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(target_report, target_id, incarnation,
                                   address, kind, data_centre, rack, service,
                                   slots, slots_used, total, in_use, is_leaving,
                                   sequence, rules_generation)
};

/// The identity and addresses of an entry.
struct entry_record
{
    std::string entry_id;
    std::string incarnation;
    std::string peer_address; ///< IP:PORT for the processes of the system
    std::string http_address; ///< IP:PORT for callers and operators
    std::string data_centre;

    bool operator==(entry_record const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(entry_record, entry_id, incarnation,
                                   peer_address, http_address, data_centre)
};

/// Answer to a report.
struct report_answer
{
    std::vector<entry_record> entries;  ///< the live entries
    std::uint64_t rules_generation = 0; ///< known to the entry that answers
    /// The rule_set as JSON, sent on change to the keeper agents, which store a
    /// copy of it; else empty.
    std::string rules;
    /// Milliseconds since the answering entry had contact with the table or the
    /// decider.
    std::int64_t authority_age_ms = 0;
    std::uint64_t term = 0; ///< highest decider term seen; 0 if none

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(report_answer, entries, rules_generation,
                                   rules, authority_age_ms, term)
};

/// Makes an agent run one attempt of a caller's request on its executor.
struct dispatch
{
    std::string attempt_id;
    std::string request_id;
    std::string customer;
    std::string body; ///< passed to the executor
    std::int64_t time_limit_ms = 0;
    bool is_unrepeatable = false;    ///< must not run twice
    std::uint64_t claim_attempt = 0; ///< attempt number in the request's row

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(dispatch, attempt_id, request_id, customer,
                                   body, time_limit_ms, is_unrepeatable,
                                   claim_attempt)
};

/// The states of an attempt of a request on an agent.
enum class attempt_state
{
    unknown,  ///< not received by this incarnation of the agent
    fenced,   ///< not received; a later dispatch of it is refused
    running,  ///< accepted, no outcome yet
    finished, ///< the executor returned an answer
    refused,  ///< ended with an error; the executor did not run it
    failed,   ///< may have run, but no answer is available
};

NLOHMANN_JSON_SERIALIZE_ENUM(attempt_state,
                             {{attempt_state::unknown, "unknown"},
                              {attempt_state::fenced, "fenced"},
                              {attempt_state::running, "running"},
                              {attempt_state::finished, "finished"},
                              {attempt_state::refused, "refused"},
                              {attempt_state::failed, "failed"}})

/// Answer to dispatch, query and fence.
struct attempt_answer
{
    std::string attempt_id;
    attempt_state state = attempt_state::unknown;
    std::uint16_t code = 0;   ///< core::result_code if refused or failed
    std::string message;      ///< describes the error if refused or failed
    std::string body;         ///< the executor's answer to the request
    std::uint64_t length = 0; ///< bytes of the complete body
    std::string digest;       ///< core::digest of the complete body

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(attempt_answer, attempt_id, state, code,
                                   message, body, length, digest)
};

/// Identifies an attempt whose state is queried (query) or which must not start
/// any more (fence). A query can leave attempt_id empty and name the customer
/// and the request, for the latest attempt of that request.
struct attempt_reference
{
    std::string attempt_id;
    std::string customer;
    std::string request_id;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(attempt_reference, attempt_id, customer,
                                   request_id)
};

/// The placement of one member of a gang. Each task of a job is a member; a job
/// with one task is a gang of one.
struct gang_member
{
    std::string worker_id;
    std::string agent_address;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gang_member, worker_id, agent_address)
};

/// Reserves resources for one member (reserve), or starts its task (start) once
/// the decider has committed the placement. The start repeats all fields, so
/// that it does not depend on an earlier reservation.
struct task_command
{
    std::string job_id;
    std::uint64_t attempt = 0; ///< attempt number of the job
    std::uint64_t term = 0;    ///< of the sending decider; a fencing token
    int member = 0;            ///< index into members
    std::string customer;
    policy::resources resources; ///< needed by this member
    std::string command;
    std::string input_key;            ///< object store key of the input
    std::string restore_from;         ///< checkpoint to resume from, or empty
    bool is_unrepeatable = false;     ///< must not run twice
    std::vector<gang_member> members; ///< all members; the first is the lead

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(task_command, job_id, attempt, term, member,
                                   customer, resources, command, input_key,
                                   restore_from, is_unrepeatable, members)
};

/// Stops the task of one member (stop), or releases its reservation (release).
struct task_stop
{
    std::string job_id;
    std::uint64_t attempt = 0;     ///< attempt number of the job
    std::uint64_t term = 0;        ///< of the sending decider; a fencing token
    int member = 0;                ///< index in the gang
    bool wants_checkpoint = false; ///< write a checkpoint before the stop
    std::int64_t grace_ms = 0;     ///< time until the stop

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(task_stop, job_id, attempt, term, member,
                                   wants_checkpoint, grace_ms)
};

/// The states of a gang member on its agent.
enum class member_state
{
    reserved, ///< holds resources; the task is not started
    running,
    finished, ///< the task succeeded
    failed,
    stopped, ///< by a command or by the agent
};

NLOHMANN_JSON_SERIALIZE_ENUM(member_state,
                             {{member_state::reserved, "reserved"},
                              {member_state::running, "running"},
                              {member_state::finished, "finished"},
                              {member_state::failed, "failed"},
                              {member_state::stopped, "stopped"}})

/// The state of one member, which its agent reports to the decider through any
/// entry. The agent repeats the report until the answer is ok.
struct member_report
{
    std::string worker_id;
    std::string job_id;
    std::uint64_t attempt = 0; ///< attempt number of the job
    int member = 0;            ///< index in the gang
    member_state state = member_state::running;
    std::string output;
    std::string checkpoint; ///< the latest one, empty if none
    std::string detail;     ///< why the member failed or was stopped
    std::int64_t run_time_ms = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(member_report, worker_id, job_id, attempt,
                                   member, state, output, checkpoint, detail,
                                   run_time_ms)
};

/// Heartbeat of a gang member, sent by its agent to the agent of the gang lead.
/// If a member fails or its heartbeats stop, the lead's agent stops the gang.
struct gang_beat
{
    std::string job_id;
    std::uint64_t attempt = 0; ///< attempt number of the job
    int member = 0;            ///< index in the gang
    member_state state = member_state::running;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gang_beat, job_id, attempt, member, state)
};

/// Answer to a gang_beat.
struct gang_beat_answer
{
    bool must_stop = false; ///< the gang is being stopped

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gang_beat_answer, must_stop)
};

/// The state of a target that one entry forwards to another. Contains an age
/// instead of a time, because clocks of different machines are never compared.
struct target_update
{
    target_report report;
    std::int64_t age_ms = 0; ///< since the last contact with the agent
    /// Incarnations of the agent that are known to have been replaced by a
    /// newer one.
    std::vector<std::string> superseded;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(target_update, report, age_ms,
                                                superseded)
};

/// Notifies the decider that another entry changed the row of a job.
struct job_changed
{
    std::string job_id;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(job_changed, job_id)
};

/// Asks the decider why a job is still queued.
struct job_note_query
{
    std::string job_id;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(job_note_query, job_id)
};

/// Answer to a job_note_query.
struct job_note_answer
{
    std::string text; ///< the reason; empty if the last round recorded none

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(job_note_answer, text)
};

/// Sent by each entry to every other entry once a second by default. The answer
/// has the same type.
struct sync_message
{
    entry_record sender;
    bool wants_all = false; ///< set by a new entry: answer with all targets
    /// The targets with a contact since the last exchange, or all of them.
    std::vector<target_update> targets;
    std::uint64_t rules_generation = 0; ///< known to the sender
    std::int64_t table_age_ms = 0; ///< since the sender last read the table
    std::uint64_t term = 0;        ///< highest decider term seen; 0 if none

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(sync_message, sender, wants_all, targets,
                                   rules_generation, table_age_ms, term)
};

} // namespace sequoiaroute::peers
