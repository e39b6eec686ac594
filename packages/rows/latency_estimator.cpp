#include "rows/latency_estimator.hpp"

#include <algorithm>

namespace sequoiaroute::rows {

namespace {

constexpr core::duration shortest_timeout{500};
constexpr core::duration longest_timeout{3000};
constexpr core::duration longest_typical{700};
constexpr int timeout_factor = 4;
/// An estimate after a silence, so that the next call waits longer.
constexpr core::duration first_slow_estimate{250};

} // namespace

void latency_estimator::record(core::duration taken)
{
    // Slower answers count at once, faster ones bit by bit.
    if (taken > typical_)
        typical_ = taken;
    else
        typical_ = (typical_ * 3 + taken) / 4;
    typical_ = std::min(typical_, longest_typical);
}

void latency_estimator::record_silence()
{
    typical_ = std::clamp(typical_ * 2, first_slow_estimate, longest_typical);
}

void latency_estimator::record(commit_outcome outcome, core::duration taken)
{
    if (outcome == commit_outcome::unknown)
        record_silence();
    else
        record(taken);
}

core::duration latency_estimator::timeout() const
{
    return std::clamp(typical_ * timeout_factor, shortest_timeout,
                      longest_timeout);
}

} // namespace sequoiaroute::rows
