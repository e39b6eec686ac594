#include "rows/latency_estimator.hpp"

#include <algorithm>

namespace sequoiaroute::rows {

namespace {

constexpr core::duration min_timeout{500};
constexpr core::duration max_timeout{3000};
constexpr core::duration max_typical_latency{700};
/// The timeout is this many times the typical latency.
constexpr int timeout_factor = 4;
/// The least estimate after a timeout, so that the next timeout is longer.
constexpr core::duration min_latency_after_timeout{250};

} // namespace

void latency_estimator::record(core::duration latency)
{
    // Follow slower responses at once, faster ones gradually.
    if (latency > typical_)
        typical_ = latency;
    else
        typical_ = (typical_ * 3 + latency) / 4;
    typical_ = std::min(typical_, max_typical_latency);
}

void latency_estimator::record_timeout()
{
    typical_ = std::clamp(typical_ * 2, min_latency_after_timeout,
                          max_typical_latency);
}

void latency_estimator::record(commit_outcome outcome, core::duration latency)
{
    if (outcome == commit_outcome::unknown)
        record_timeout();
    else
        record(latency);
}

core::duration latency_estimator::timeout() const
{
    return std::clamp(typical_ * timeout_factor, min_timeout, max_timeout);
}

} // namespace sequoiaroute::rows
