#include "rows/row_layout.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace sequoiaroute::rows::layout {

namespace {

/// @return the bucket, less than `count`, that an id is hashed to
std::size_t hash_bucket(std::string_view id, std::size_t count)
{
    return XXH3_64bits(id.data(), id.size()) % count;
}

/// @return the key of a row that the decider writes
row_key work_row(std::string_view prefix, std::string_view id)
{
    return {std::string(work_table), std::string(work_part),
            fmt::format("{}{}", prefix, id)};
}

/// @return the name of a part with rows that entries write
std::string job_part(std::size_t number)
{
    return fmt::format("jobs-{:02}", number);
}

/// @return the key of a row that entries write
row_key entry_row(std::string_view prefix, std::string_view id)
{
    return {std::string(work_table), job_part(hash_bucket(id, job_part_count)),
            fmt::format("{}{}", prefix, id)};
}

} // namespace

std::vector<std::string> work_parts()
{
    std::vector<std::string> parts{std::string(work_part)};
    for (std::size_t number = 0; number < job_part_count; ++number)
        parts.push_back(job_part(number));
    return parts;
}

range single_row_range(row_key const& key)
{
    return {key.table, key.part, key.key, key.key + '\0', 1};
}

row_key lease_row()
{
    return work_row("lease", "");
}

row_key worker_speed_row()
{
    return work_row("worker-speed", "");
}

row_key job_row(std::string_view job_id)
{
    return entry_row(job_prefix, job_id);
}

row_key cancel_row(std::string_view job_id)
{
    return entry_row(cancel_prefix, job_id);
}

row_key progress_row(std::string_view job_id)
{
    return work_row(progress_prefix, job_id);
}

std::string order_table(std::size_t number)
{
    return fmt::format("sequoiaroute-orders-{:02}", number);
}

std::string order_table_of(std::string_view agent)
{
    return order_table(hash_bucket(agent, order_table_count));
}

std::string order_prefix(std::string_view agent)
{
    return fmt::format("{}/", agent);
}

row_key order_row(std::string_view agent, std::string_view run)
{
    return {order_table_of(agent), std::string(work_part),
            order_prefix(agent) + std::string(run)};
}

row_key report_row(std::string_view agent)
{
    return {std::string(reports_table),
            fmt::format("{:02}", hash_bucket(agent, report_part_count)),
            std::string(agent)};
}

} // namespace sequoiaroute::rows::layout
