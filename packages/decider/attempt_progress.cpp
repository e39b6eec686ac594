#include "decider/attempt_progress.hpp"

#include <algorithm>

namespace sequoiaroute::decider {

using peers::member_state;

namespace {

bool is_ended(member_state state)
{
    return state >= member_state::finished;
}

} // namespace

bool have_all_ended(job_data const& data)
{
    return std::all_of(data.members.begin(), data.members.end(),
                       [](auto const& member) { return member.has_ended; });
}

bool have_all_finished(job_data const& data)
{
    auto const is_finished = [](member_progress const& member) {
        return member.has_ended && member.end_state == member_state::finished;
    };
    return !data.members.empty() &&
           std::all_of(data.members.begin(), data.members.end(), is_finished);
}

bool have_all_reserved(job_data const& data)
{
    return !data.members.empty() &&
           std::all_of(data.members.begin(), data.members.end(),
                       [](auto const& member) { return member.is_reserved; });
}

policy::job_record record_with_checkpoints(job_data const& data)
{
    auto record = data.record;
    record.checkpoints.resize(data.members.size());
    for (std::size_t index = 0; index < data.members.size(); ++index) {
        if (!data.members[index].checkpoint.empty())
            record.checkpoints[index] = data.members[index].checkpoint;
    }
    return record;
}

void apply_report(job_data& data, peers::member_report const& report)
{
    auto const index = static_cast<std::size_t>(report.member);
    if (report.attempt != data.record.attempt || index >= data.members.size() ||
        report.worker_id != data.record.placed[index].worker_id)
        return;
    auto& member = data.members[index];
    if (!report.checkpoint.empty())
        member.checkpoint = report.checkpoint;
    member.is_started = true;
    bool const is_end_known =
        member.has_ended && (member.end_state != member_state::stopped ||
                             report.state != member_state::finished);
    if (!is_ended(report.state) || is_end_known)
        return;
    member.has_ended = true;
    member.end_state = report.state;
    member.output = report.output;
    member.detail = report.detail;
    if (report.state == member_state::stopped && member.detail.empty())
        member.detail = "stopped on worker " + report.worker_id;
}

} // namespace sequoiaroute::decider
