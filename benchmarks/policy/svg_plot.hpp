#pragma once

#include <string>
#include <vector>

namespace sequoiaroute::benchmarks {

/// Renders bar charts and line charts as SVG documents.
class svg_plot
{
public:
    struct bar
    {
        std::string label;
        double value = 0;
        double low = 0;  ///< lower end of the whisker
        double high = 0; ///< upper end of the whisker
    };

    struct line
    {
        std::string label;
        std::vector<std::pair<double, double>> points; ///< x and y
    };

    /// Renders bars from zero, with whiskers.
    /// @param title the title
    /// @param unit the unit of the values
    /// @param bars the bars, from left to right
    /// @return the SVG document
    static std::string bars(std::string const& title, std::string const& unit,
                            std::vector<bar> const& bars);

    /// Renders lines with logarithmic axes.
    /// @param title the title
    /// @param x_label the label of the horizontal axis
    /// @param y_label the label of the vertical axis
    /// @param lines the lines; all coordinates must be positive
    /// @return the SVG document
    static std::string lines(std::string const& title,
                             std::string const& x_label,
                             std::string const& y_label,
                             std::vector<line> const& lines);
};

} // namespace sequoiaroute::benchmarks
