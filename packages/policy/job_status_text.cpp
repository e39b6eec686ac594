#include "policy/job_status_text.hpp"

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

std::string queued_text(job_record const& record, std::string_view note)
{
    std::string text(note.empty() ? "waiting to be placed" : note);
    if (!record.failed_workers.empty())
        text += fmt::format("; {} earlier attempt(s) failed",
                            record.failed_workers.size());
    return text;
}

std::string running_text(job_record const& record)
{
    if (record.is_cancel_requested)
        return "being cancelled; its tasks are being stopped";
    return fmt::format("running on {} worker(s), attempt {}",
                       record.placed.size(), record.attempt);
}

std::string final_text(std::string_view description, job_record const& record)
{
    auto const code = static_cast<core::result_code>(record.code);
    auto const detail =
        record.reason.empty() ? std::string{} : ": " + record.reason;
    return fmt::format("{}{} ({})", description, detail, core::name(code));
}

} // namespace

std::string job_status_text(job_record const& record,
                            std::string_view waiting_note)
{
    switch (record.state) {
    case job_state::queued:
        return queued_text(record, waiting_note);
    case job_state::reserving:
        return "starting; its workers are being reserved";
    case job_state::running:
        return running_text(record);
    case job_state::stopping:
        return record.is_cancel_requested
                   ? "being cancelled; its tasks are being stopped"
                   : "being stopped: " + record.reason;
    case job_state::finished:
        return "finished; its result is stored";
    case job_state::failed:
        return final_text("failed", record);
    case job_state::cancelled:
        return final_text("cancelled", record);
    case job_state::rejected:
        return final_text("rejected without being run", record);
    case job_state::fails_everywhere:
        return final_text("failed on every worker it ran on", record);
    case job_state::outcome_unknown:
        return final_text("outcome unknown; the job may have run and will "
                          "not be run again",
                          record);
    }
    return "unknown";
}

} // namespace sequoiaroute::policy
