#pragma once

#include "rows/row_store.hpp"

#include <string>
#include <string_view>

/// Where the project keeps its rows. All rows that the decider writes share
/// one part with its lease, so that each of its transactions can depend on the
/// lease. Orders are spread over tables, because an agent follows a whole
/// table; jobs and reports over parts, because a part takes one transaction
/// after another, and few a second while the store is slow.
namespace sequoiaroute::rows::layout {

inline constexpr std::string_view work_table = "sequoiaroute-work";
inline constexpr std::string_view work_part = "work";
inline constexpr std::string_view reports_table = "sequoiaroute-reports";
inline constexpr std::size_t order_table_count = 64;
inline constexpr std::size_t report_parts = 64;
inline constexpr std::size_t job_parts = 16;

inline constexpr std::string_view job_prefix = "job/";
inline constexpr std::string_view cancel_prefix = "cancel/";
inline constexpr std::string_view progress_prefix = "progress/";

/// @return the range that holds one row only
range single_row_range(row_key const& key);

/// @return the row of the decider's lease
row_key lease_row();

/// @return the row of a job: as submitted, its cancellation, its progress
row_key job_row(std::string_view job_id);
row_key cancel_row(std::string_view job_id);
row_key progress_row(std::string_view job_id);

/// @param number below order_table_count
/// @return the name of a table of orders
std::string order_table(std::size_t number);

/// @return the table with the orders for an agent
std::string order_table_of(std::string_view agent);

/// @return what the keys of all orders for an agent begin with
std::string order_prefix(std::string_view agent);

/// @param agent the agent that carries the order out
/// @param run the text of the run
/// @return the row of the order
row_key order_row(std::string_view agent, std::string_view run);

/// @return the row with the report of an agent
row_key report_row(std::string_view agent);

} // namespace sequoiaroute::rows::layout
