#pragma once

#include "rows/row_store.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The tables, parts and keys under which rows are stored.
///
/// A transaction cannot span parts. All rows that the decider writes are
/// therefore in one part with its lease, so that each of its transactions can
/// require that it still holds the lease. Orders are spread over several
/// tables, because an agent follows a whole table. Jobs and reports are spread
/// over several parts, because the transactions of a part are serialized, and a
/// slow store completes only a few of them per second.
namespace sequoiaroute::rows::layout {

inline constexpr std::string_view work_table = "sequoiaroute-work";
inline constexpr std::string_view work_part = "work";
inline constexpr std::string_view reports_table = "sequoiaroute-reports";
inline constexpr std::size_t order_table_count = 64;
inline constexpr std::size_t report_part_count = 64;
inline constexpr std::size_t job_part_count = 16;

inline constexpr std::string_view job_prefix = "job/";
inline constexpr std::string_view cancel_prefix = "cancel/";
inline constexpr std::string_view progress_prefix = "progress/";

/// @return all parts of the work table
std::vector<std::string> work_parts();

/// @return the range that contains only the row with this key
range single_row_range(row_key const& key);

/// @return the key of the lease of the decider
row_key lease_row();

/// @return the key of what deciders have learnt of the speed of workers
row_key worker_speed_row();

/// @return the key of the submission of a job
row_key job_row(std::string_view job_id);

/// @return the key of the request to cancel a job
row_key cancel_row(std::string_view job_id);

/// @return the key of the progress of a job
row_key progress_row(std::string_view job_id);

/// @param number the number of the table, less than order_table_count
/// @return the name of a table of orders
std::string order_table(std::size_t number);

/// @return the name of the table with the orders for an agent
std::string order_table_of(std::string_view agent);

/// @return the prefix of the keys of all orders for an agent
std::string order_prefix(std::string_view agent);

/// @param agent the id of the agent that the order is for
/// @param run the run, as text
/// @return the key of the order
row_key order_row(std::string_view agent, std::string_view run);

/// @return the key of the report of an agent
row_key report_row(std::string_view agent);

} // namespace sequoiaroute::rows::layout
