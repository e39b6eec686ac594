#include "policy/svg_plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace sequoiaroute::benchmarks {

namespace {

// Dimensions are in pixels.
constexpr double width = 720;
constexpr double height = 360;
constexpr double left = 70;
constexpr double bottom = 310;
constexpr double top = 50;
constexpr std::array colours{"#999999", "#c77f3a", "#d6b04c", "#3a7ec7",
                             "#3aa76d"};

std::string text(double x, double y, std::string const& content,
                 std::string const& anchor = "middle")
{
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}"
                       "</text>\n",
                       x, y, anchor, content);
}

std::string segment(double x1, double y1, double x2, double y2,
                    std::string const& colour)
{
    return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                       "y2=\"{:.1f}\" stroke=\"{}\"/>\n",
                       x1, y1, x2, y2, colour);
}

/// @return an SVG document with a title, two axes and the content
std::string document(std::string const& title, std::string const& content)
{
    return fmt::format(
               "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
               "height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
               "font-family=\"sans-serif\" font-size=\"12\">\n"
               "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
               width, height) +
           text(width / 2, 24, title) +
           segment(left, bottom, width - 20, bottom, "black") +
           segment(left, top, left, bottom, "black") + content + "</svg>\n";
}

} // namespace

std::string svg_plot::bars(std::string const& title, std::string const& unit,
                           std::vector<bar> const& bars)
{
    double max_value = 1e-9;
    for (auto const& bar : bars)
        max_value = std::max({max_value, bar.value, bar.high});
    auto const y_of = [&](double value) {
        return bottom - value / max_value * (bottom - top);
    };
    std::string content =
        text(left - 8, top + 4, fmt::format("{:.3g}", max_value), "end") +
        text(left - 8, bottom, "0", "end") + text(left, top - 8, unit, "start");
    auto const step =
        (width - 20 - left) /
        static_cast<double>(std::max<std::size_t>(1, bars.size()));
    for (std::size_t index = 0; index < bars.size(); ++index) {
        auto const& bar = bars[index];
        auto const x = left + step * (static_cast<double>(index) + 0.5);
        content += fmt::format(
            "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
            "height=\"{:.1f}\" fill=\"{}\"/>\n",
            x - step * 0.3, y_of(bar.value), step * 0.6,
            bottom - y_of(bar.value), colours[index % colours.size()]);
        content += segment(x, y_of(bar.low), x, y_of(bar.high), "black");
        content += text(x, bottom + 18, bar.label);
        content += text(x, bottom + 34, fmt::format("{:.3g}", bar.value));
    }
    return document(title, content);
}

std::string svg_plot::lines(std::string const& title,
                            std::string const& x_label,
                            std::string const& y_label,
                            std::vector<line> const& lines)
{
    double x_low = 1e300;
    double x_high = 0;
    double y_low = 1e300;
    double y_high = 0;
    for (auto const& line : lines) {
        for (auto const& [x, y] : line.points) {
            x_low = std::min(x_low, x);
            x_high = std::max(x_high, x);
            y_low = std::min(y_low, y);
            y_high = std::max(y_high, y);
        }
    }
    auto const x_of = [&](double x) {
        return left + 20 +
               std::log(x / x_low) / std::max(1e-9, std::log(x_high / x_low)) *
                   (width - left - 200);
    };
    auto const y_of = [&](double y) {
        return bottom - std::log(y / y_low) /
                            std::max(1e-9, std::log(y_high / y_low)) *
                            (bottom - top);
    };
    std::string content =
        text(left - 8, top + 4, fmt::format("{:.3g}", y_high), "end") +
        text(left - 8, bottom, fmt::format("{:.3g}", y_low), "end") +
        text(left, top - 8, y_label, "start") +
        text(width / 2, bottom + 36, x_label);
    for (std::size_t index = 0; index < lines.size(); ++index) {
        auto const& line = lines[index];
        auto const* const colour = colours[index % colours.size()];
        std::string points;
        for (auto const& [x, y] : line.points) {
            points += fmt::format("{:.1f},{:.1f} ", x_of(x), y_of(y));
            content += text(x_of(x), bottom + 18, fmt::format("{:g}", x));
        }
        content += fmt::format("<polyline fill=\"none\" stroke=\"{}\" "
                               "stroke-width=\"2\" points=\"{}\"/>\n",
                               colour, points);
        auto const y = top + 16 * static_cast<double>(index);
        content += segment(width - 170, y, width - 150, y, colour) +
                   text(width - 144, y + 4, line.label, "start");
    }
    return document(title, content);
}

} // namespace sequoiaroute::benchmarks
