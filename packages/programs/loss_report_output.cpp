#include "programs/loss_report_output.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

using core::json;

constexpr double image_width = 960; ///< in pixels, as all sizes below
constexpr double image_height = 360;
constexpr double legend_width = 160;
constexpr double legend_row_height = 18;
constexpr double margin = 30;

/// Distinct colours, by cause.
constexpr std::array<std::string_view, loss_cause_count> colours{
    "#333333", "#7f7f7f", "#c7c7c7", "#1f77b4", "#17becf",
    "#9edae5", "#dbdb8d", "#d62728", "#ff7f0e", "#8c564b",
    "#9467bd", "#e377c2", "#2ca02c", "#bcbd22", "#ff9896"};

loss_cause cause_at(std::size_t index)
{
    return static_cast<loss_cause>(index);
}

std::string table_of(std::string_view title, losses const& lost)
{
    auto text = fmt::format("{}\n  {:<16}{:>8}{:>12}{:>16}\n", title, "cause",
                            "jobs", "seconds", "core-seconds");
    for (std::size_t cause = 0; cause < lost.size(); ++cause) {
        auto const& sum = lost[cause];
        if (sum.jobs == 0)
            continue;
        text += fmt::format("  {:<16}{:>8}{:>12.1f}{:>16.0f}\n",
                            name(cause_at(cause)), sum.jobs,
                            static_cast<double>(sum.waited_ms) / 1000,
                            sum.core_seconds);
    }
    return text;
}

std::string tables_of(std::string_view kind,
                      std::map<std::string, losses> const& by_name)
{
    std::string text;
    for (auto const& [owner, lost] : by_name) {
        text += table_of(
            fmt::format("{} {}", kind, owner.empty() ? "(unknown)" : owner),
            lost);
    }
    return text;
}

json to_document(losses const& lost)
{
    auto document = json::object();
    for (std::size_t cause = 0; cause < lost.size(); ++cause) {
        auto const& sum = lost[cause];
        if (sum.jobs == 0)
            continue;
        document[std::string(name(cause_at(cause)))] = {
            {"jobs", sum.jobs},
            {"waited_ms", sum.waited_ms},
            {"core_seconds", sum.core_seconds}};
    }
    return document;
}

json to_document(std::map<std::string, losses> const& by_name)
{
    auto document = json::object();
    for (auto const& [owner, lost] : by_name)
        document[owner] = to_document(lost);
    return document;
}

json to_document(second_summary const& second)
{
    auto waited = json::object();
    for (std::size_t cause = 0; cause < second.waited_ms.size(); ++cause) {
        if (second.waited_ms[cause] > 0)
            waited[std::string(name(cause_at(cause)))] =
                second.waited_ms[cause];
    }
    return {{"waited_ms", std::move(waited)},
            {"finished_jobs", second.finished_jobs},
            {"store_lost", second.is_store_lost}};
}

std::int64_t sum_of(second_summary const& second)
{
    std::int64_t sum = 0;
    for (auto const waited : second.waited_ms)
        sum += waited;
    return sum;
}

std::string rectangle(double x, double y, double width, double height,
                      std::string_view colour)
{
    return fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                       "height=\"{:.1f}\" fill=\"{}\"/>\n",
                       x, y, width, height, colour);
}

std::string legend()
{
    std::string text;
    auto const x = image_width - legend_width;
    for (std::size_t cause = 0; cause < loss_cause_count; ++cause) {
        auto const y = margin + legend_row_height * static_cast<double>(cause);
        text += rectangle(x, y, 10, 10, colours[cause]);
        text += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n",
                            x + 16, y + 10, name(cause_at(cause)));
    }
    return text;
}

} // namespace

std::string to_text(loss_report const& report, std::int64_t skipped_lines)
{
    auto text = fmt::format(
        "{} jobs finished, {} not, {} never accepted; {} lines not read, {} "
        "dropped by their process\n",
        report.finished_jobs(), report.unfinished_jobs(),
        report.never_accepted_jobs(), skipped_lines, report.dropped_lines());
    text += table_of("all jobs", report.total());
    text += tables_of("queue", report.by_queue());
    text += tables_of("customer", report.by_customer());
    return text + tables_of("data centre", report.by_data_centre());
}

std::string to_json(loss_report const& report, std::int64_t skipped_lines)
{
    auto seconds = json::object();
    for (auto const& [second, summary] : report.seconds())
        seconds[fmt::format("{}", second)] = to_document(summary);
    return json{{"finished_jobs", report.finished_jobs()},
                {"unfinished_jobs", report.unfinished_jobs()},
                {"never_accepted_jobs", report.never_accepted_jobs()},
                {"skipped_lines", skipped_lines},
                {"dropped_lines", report.dropped_lines()},
                {"total", to_document(report.total())},
                {"queues", to_document(report.by_queue())},
                {"customers", to_document(report.by_customer())},
                {"data_centres", to_document(report.by_data_centre())},
                {"seconds", std::move(seconds)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string to_svg(loss_report const& report)
{
    auto const& seconds = report.seconds();
    auto image = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" "
        "height=\"{:.0f}\" font-family=\"sans-serif\" font-size=\"12\">\n",
        image_width, image_height);
    if (seconds.empty())
        return image + "</svg>\n";
    std::int64_t highest = 1;
    for (auto const& [second, summary] : seconds)
        highest = std::max(highest, sum_of(summary));
    auto const first = seconds.begin()->first;
    auto const count = static_cast<double>(seconds.rbegin()->first - first + 1);
    auto const column = (image_width - legend_width - 2 * margin) / count;
    auto const plot_height = image_height - 2 * margin;
    for (auto const& [second, summary] : seconds) {
        auto const x = margin + column * static_cast<double>(second - first);
        if (summary.is_store_lost)
            image += rectangle(x, margin, column, plot_height, "#eeeeee");
        auto y = margin + plot_height;
        for (std::size_t cause = 0; cause < loss_cause_count; ++cause) {
            auto const height = plot_height *
                                static_cast<double>(summary.waited_ms[cause]) /
                                static_cast<double>(highest);
            if (height <= 0)
                continue;
            y -= height;
            image += rectangle(x, y, column, height, colours[cause]);
        }
    }
    image += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\">waiting at once, at "
                         "most {:.1f}; grey: store lost; {:.0f} s</text>\n",
                         margin, margin - 10,
                         static_cast<double>(highest) / 1000, count);
    return image + legend() + "</svg>\n";
}

} // namespace sequoiaroute::programs
