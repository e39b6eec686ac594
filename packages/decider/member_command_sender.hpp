#pragma once

#include "peers/link.hpp"
#include "policy/job_record.hpp"
#include "targets/target_directory.hpp"

#include <functional>
#include <string>
#include <vector>

namespace sequoiaroute::decider {

/// The answer of a member's agent to a command.
struct member_answer
{
    std::size_t member = 0; ///< index of the member in the gang
    core::result<peers::answer_envelope> answer; ///< or the error of the call

    /// @return whether the agent answered, even if with an error code
    bool has_answer() const { return core::is_ok(answer); }
    /// @return the code of the answer, or of the error if there is none
    core::result_code code() const;
    /// @return the member's state in the answer's body, running if it has none
    peers::member_state state() const;
    /// @return the report in the answer's body, or a default one without job id
    peers::member_report report() const;
};

/// Sends commands to the agents of a gang's members, to all of them in
/// parallel, and waits for the answers. Thread-safe.
class member_command_sender
{
public:
    /// For the answer to reserve.
    static constexpr core::duration reserve_time_limit =
        std::chrono::seconds(2);
    /// For the answer to start, stop or release.
    static constexpr core::duration command_time_limit =
        std::chrono::seconds(1);

    /// @param links the links to agents; must outlive this object
    /// @param directory is notified of each worker whose agent answers; must
    ///        outlive this object
    member_command_sender(peers::link_pool& links,
                          targets::target_directory& directory);

    /// Sends reserve or start.
    /// @param kind the message kind
    /// @param record the job with its placed members
    /// @param term the term of the decider
    /// @param members indexes of the members to send it to
    /// @param time_limit how long to wait for each answer
    /// @return the answers in the order of members
    std::vector<member_answer>
    send_command(std::string_view kind, policy::job_record const& record,
                 std::uint64_t term, std::vector<std::size_t> const& members,
                 core::duration time_limit);

    /// Sends stop or release.
    /// @param kind the message kind
    /// @param record the job with its placed members
    /// @param term the term of the decider
    /// @param members indexes of the members to send it to
    /// @param grace time to write a checkpoint, zero if none is wanted
    /// @return the answers in the order of members
    std::vector<member_answer> end(std::string_view kind,
                                   policy::job_record const& record,
                                   std::uint64_t term,
                                   std::vector<std::size_t> const& members,
                                   core::duration grace);

private:
    /// Makes the message body for a member index.
    using body_factory = std::function<core::json(std::size_t)>;

    /// Sends a message to each member, in parallel.
    std::vector<member_answer>
    send_to_members(std::string_view kind, policy::job_record const& record,
                    std::vector<std::size_t> const& members,
                    core::duration time_limit, body_factory const& make_body);
    /// Sends a message to the agent of one member.
    member_answer send(std::string_view kind,
                       policy::placed_member const& placed, std::size_t member,
                       core::duration time_limit, core::json const& body);

    peers::link_pool& links_;
    targets::target_directory& directory_;
};

} // namespace sequoiaroute::decider
