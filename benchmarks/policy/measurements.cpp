#include "policy/measurements.hpp"

#include <algorithm>

namespace sequoiaroute::benchmarks {

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    auto const index = std::min(
        values.size() - 1,
        static_cast<std::size_t>(share * static_cast<double>(values.size())));
    auto const position = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace sequoiaroute::benchmarks
