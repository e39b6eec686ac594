#include "decider/member_command_sender.hpp"

#include <thread>

namespace sequoiaroute::decider {

namespace {

peers::task_command command_for(policy::job_record const& record,
                                std::uint64_t term, std::size_t member)
{
    peers::task_command command;
    command.job_id = record.job_id;
    command.attempt = record.attempt;
    command.term = term;
    command.member = static_cast<int>(member);
    command.customer = record.customer;
    command.resources = record.member;
    command.command = record.command;
    command.input_key = record.input_key;
    if (member < record.checkpoints.size())
        command.restore_from = record.checkpoints[member];
    command.is_unrepeatable = record.is_unrepeatable;
    for (auto const& placed : record.placed)
        command.members.push_back({placed.worker_id, placed.agent_address});
    return command;
}

} // namespace

core::result_code member_answer::code() const
{
    if (!has_answer())
        return core::failure(answer).code;
    return static_cast<core::result_code>(core::value(answer).code);
}

peers::member_report member_answer::report() const
{
    if (!has_answer())
        return {};
    auto const report =
        core::message_from<peers::member_report>(core::value(answer).body);
    return core::is_ok(report) ? core::value(report) : peers::member_report{};
}

peers::member_state member_answer::state() const
{
    return report().state;
}

member_command_sender::member_command_sender(
    peers::link_pool& links, targets::target_directory& directory)
    : links_(links), directory_(directory)
{
}

member_answer member_command_sender::send(std::string_view kind,
                                          policy::placed_member const& placed,
                                          std::size_t member,
                                          core::duration time_limit,
                                          core::json const& body)
{
    auto const link = links_.link_to(placed.agent_address);
    member_answer answer{member, link->call(kind, body, time_limit)};
    if (answer.has_answer())
        directory_.record_contact(placed.worker_id);
    return answer;
}

std::vector<member_answer> member_command_sender::send_to_members(
    std::string_view kind, policy::job_record const& record,
    std::vector<std::size_t> const& members, core::duration time_limit,
    body_factory const& make_body)
{
    std::vector<member_answer> answers(members.size());
    auto const send_one = [&](std::size_t index) {
        auto const member = members[index];
        answers[index] = send(kind, record.placed.at(member), member,
                              time_limit, make_body(member));
    };
    // Calls block, so each one beyond the first runs on its own thread. A gang
    // has at most 64 members.
    std::vector<std::jthread> threads;
    for (std::size_t index = 1; index < members.size(); ++index)
        threads.emplace_back(send_one, index);
    if (!members.empty())
        send_one(0);
    threads.clear();
    return answers;
}

std::vector<member_answer> member_command_sender::send_command(
    std::string_view kind, policy::job_record const& record, std::uint64_t term,
    std::vector<std::size_t> const& members, core::duration time_limit)
{
    return send_to_members(
        kind, record, members, time_limit, [&](std::size_t member) {
            return core::json(command_for(record, term, member));
        });
}

std::vector<member_answer> member_command_sender::end(
    std::string_view kind, policy::job_record const& record, std::uint64_t term,
    std::vector<std::size_t> const& members, core::duration grace)
{
    return send_to_members(kind, record, members, command_time_limit,
                           [&](std::size_t member) {
                               peers::task_stop stop;
                               stop.job_id = record.job_id;
                               stop.attempt = record.attempt;
                               stop.term = term;
                               stop.member = static_cast<int>(member);
                               stop.wants_checkpoint = grace.count() > 0;
                               stop.grace_ms = grace.count();
                               return core::json(stop);
                           });
}

} // namespace sequoiaroute::decider
