#include "programs/job_progress.hpp"

#include "programs/flags.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <thread>

#include <absl/flags/flag.h>
#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

constexpr core::duration poll_period{500};

/// Consecutive failures after which polling ends. Replacing the entries takes
/// seconds, which polling has to outlast.
constexpr int max_failed_polls = 120;

bool is_final_state(std::string_view state)
{
    constexpr std::array<std::string_view, 6> final_states{
        "finished", "failed",           "cancelled",
        "rejected", "fails_everywhere", "outcome_unknown"};
    return std::find(final_states.begin(), final_states.end(), state) !=
           final_states.end();
}

std::string format_job(core::json const& job)
{
    return fmt::format("{}  {}  {}",
                       core::valid_field_or(job, "job_id", std::string()),
                       core::valid_field_or(job, "state", std::string()),
                       core::valid_field_or(job, "status", std::string()));
}

} // namespace

void print_job(core::json const& job)
{
    if (absl::GetFlag(FLAGS_json)) {
        fmt::print("{}\n", job.dump());
        return;
    }
    fmt::print("{}\n", format_job(job));
    if (auto const result = core::valid_field_or(job, "result", std::string());
        !result.empty())
        fmt::print("{}\n", result);
}

core::status outcome_of(core::json const& job)
{
    auto const state = core::valid_field_or(job, "state", std::string());
    if (!is_final_state(state) || state == "finished")
        return core::success();
    auto const code = static_cast<core::result_code>(
        core::valid_field_or(job, "code", std::uint16_t{0}));
    return core::error{code == core::result_code::ok
                           ? core::result_code::execution_failed
                           : code,
                       core::valid_field_or(job, "status", std::string())};
}

core::result<core::json> watch_job(failover_client& entries,
                                   std::string const& job_id)
{
    std::string last_printed;
    for (int failures = 0;;) {
        auto job = entries.query("GET", "/v1/jobs/" + job_id);
        if (core::is_ok(job)) {
            failures = 0;
            auto const text = format_job(core::value(job));
            if (text != last_printed)
                fmt::print(stderr, "{}\n", text);
            last_printed = text;
            if (is_final_state(core::value(job).value("state", std::string())))
                return job;
        } else if (core::exit_status(core::code_of(job)) == 2 || // wrong input
                   ++failures >= max_failed_polls) {
            return job;
        }
        std::this_thread::sleep_for(poll_period);
    }
}

} // namespace sequoiaroute::programs
