#pragma once

#include "programs/loss_report.hpp"

#include <string>

namespace sequoiaroute::programs {

/// @param report the finished report
/// @param skipped_lines the number of lines that could not be read
/// @return tables of the losses: in all, by queue, customer and data centre
std::string to_text(loss_report const& report, std::int64_t skipped_lines);

/// @return the losses and the time line as a JSON object
std::string to_json(loss_report const& report, std::int64_t skipped_lines);

/// @return the time line as an SVG image: for each second, the number of jobs
///         and tasks that waited, by cause; outages of the store are marked
std::string to_svg(loss_report const& report);

} // namespace sequoiaroute::programs
