#include "callers/job_submission_parser.hpp"

#include "core/identifier.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace sequoiaroute::callers {

namespace {

using core::result_code;

constexpr std::array known_fields{
    "job_id",          "kind",         "members",
    "cores",           "accelerators", "memory_megabytes",
    "within",          "urgent",       "unrepeatable",
    "command",         "input",        "declared_run_time_seconds",
    "deadline_seconds"};

constexpr std::int64_t max_members = 4096;
constexpr std::int64_t max_cores = 1'000'000;
constexpr std::int64_t max_memory_megabytes = 1'000'000'000;
constexpr std::int64_t max_accelerators = 1'000'000;
constexpr std::int64_t max_duration_seconds = 366LL * 24 * 60 * 60;
constexpr std::int64_t milliseconds_per_second = 1000;
constexpr std::size_t max_kind_length = 64;

core::error field_error(std::string_view field, std::string_view problem)
{
    return {result_code::bad_request,
            fmt::format("field {}: {}", field, problem)};
}

} // namespace

core::result<policy::job_submission>
job_submission_parser::parse(std::string_view customer, std::string_view body)
{
    SEQUOIA_TRY_INTO(auto const document, core::parse_json(body));
    if (!document.is_object()) {
        return core::error{result_code::bad_request,
                           "the body must be a JSON object"};
    }
    job_submission_parser const parser(document);
    policy::job_submission job;
    job.customer = customer;
    SEQUOIA_TRY(parser.check_field_names());
    SEQUOIA_TRY(parser.read_strings(job));
    SEQUOIA_TRY(parser.read_numbers(job));
    SEQUOIA_TRY(parser.read_flags(job));
    return job;
}

core::status job_submission_parser::check_field_names() const
{
    for (auto const& item : document_.items()) {
        auto const is_known =
            std::ranges::any_of(known_fields, [&](std::string_view field) {
                return field == item.key();
            });
        if (!is_known)
            return field_error(item.key(), "unknown field");
    }
    return core::success();
}

core::status
job_submission_parser::read_strings(policy::job_submission& job) const
{
    SEQUOIA_TRY(read("job_id", job.job_id));
    SEQUOIA_TRY(read("kind", job.kind));
    SEQUOIA_TRY(read("command", job.command));
    SEQUOIA_TRY(read("input", job.input));
    if (!document_.contains("job_id"))
        job.job_id = core::make_identifier();
    if (!core::is_identifier(job.job_id))
        return field_error("job_id", "must be an id of at most 64 letters, "
                                     "digits, '-', '_' and '.'");
    if (job.kind.empty() || job.kind.size() > max_kind_length)
        return field_error("kind", "must have 1 to 64 characters");
    if (job.command.empty())
        return field_error("command", "must not be empty");
    return core::success();
}

core::status
job_submission_parser::read_numbers(policy::job_submission& job) const
{
    std::int64_t declared_seconds = 0;
    std::int64_t deadline_seconds = 0;
    SEQUOIA_TRY(read("members", 1, max_members, job.members));
    SEQUOIA_TRY(read("cores", 0, max_cores, job.member.cores));
    SEQUOIA_TRY(read("memory_megabytes", 0, max_memory_megabytes,
                     job.member.memory_megabytes));
    SEQUOIA_TRY(
        read("accelerators", 0, max_accelerators, job.member.accelerators));
    SEQUOIA_TRY(read("declared_run_time_seconds", 0, max_duration_seconds,
                     declared_seconds));
    SEQUOIA_TRY(
        read("deadline_seconds", 0, max_duration_seconds, deadline_seconds));
    job.declared_run_time_ms = declared_seconds * milliseconds_per_second;
    job.deadline_ms = deadline_seconds * milliseconds_per_second;
    return core::success();
}

core::status
job_submission_parser::read_flags(policy::job_submission& job) const
{
    SEQUOIA_TRY(read("urgent", job.is_urgent));
    SEQUOIA_TRY(read("unrepeatable", job.is_unrepeatable));
    std::string within = "any";
    SEQUOIA_TRY(read("within", within));
    job.within = core::json(within).get<policy::adjacency>();
    // The conversion maps unknown names to the first enumerator.
    if (core::json(job.within) != within)
        return field_error("within",
                           "must be any, data_centre, rack or worker");
    return core::success();
}

core::status job_submission_parser::read(char const* field,
                                         std::string& value) const
{
    auto const found = document_.find(field);
    if (found == document_.end())
        return core::success();
    if (!found->is_string())
        return field_error(field, "must be a text");
    value = found->get<std::string>();
    return core::success();
}

core::status job_submission_parser::read(char const* field, bool& value) const
{
    auto const found = document_.find(field);
    if (found == document_.end())
        return core::success();
    if (!found->is_boolean())
        return field_error(field, "must be true or false");
    value = found->get<bool>();
    return core::success();
}

template <class Number>
core::status
job_submission_parser::read(char const* field, std::int64_t minimum,
                            std::int64_t maximum, Number& value) const
{
    auto const found = document_.find(field);
    if (found == document_.end())
        return core::success();
    // Compared as JSON numbers, because an unsigned number above the range of
    // int64 would wrap around in a conversion.
    auto const is_in_range =
        found->is_number_integer() && *found >= minimum && *found <= maximum;
    if (!is_in_range) {
        return field_error(field,
                           fmt::format("must be a whole number from {} to {}",
                                       minimum, maximum));
    }
    value = found->get<Number>();
    return core::success();
}

} // namespace sequoiaroute::callers
