#include "programs/report_command.hpp"

#include "programs/flags.hpp"
#include "programs/log_reader.hpp"
#include "programs/loss_report_output.hpp"

#include <fstream>

#include <absl/flags/flag.h>
#include <fmt/format.h>

namespace sequoiaroute::programs {

core::status run_report(std::vector<std::string> const& operands)
{
    if (operands.empty()) {
        return core::error{core::result_code::bad_request,
                           "report needs at least one file"};
    }
    SEQUOIA_TRY_INTO(auto const reader, log_reader::create(operands));
    loss_report report;
    for (logged_event event; reader->next(event);)
        report.add(event);
    report.finish();
    fmt::print("{}", absl::GetFlag(FLAGS_json)
                         ? to_json(report, reader->skipped_lines()) + '\n'
                         : to_text(report, reader->skipped_lines()));
    auto const path = absl::GetFlag(FLAGS_plot);
    if (path.empty())
        return core::success();
    std::ofstream plot(path);
    plot << to_svg(report);
    plot.close();
    if (!plot) {
        return core::error{core::result_code::bad_request,
                           fmt::format("{} cannot be written", path)};
    }
    return core::success();
}

} // namespace sequoiaroute::programs
