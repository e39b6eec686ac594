#pragma once

#include "core/clock.hpp"
#include "rows/row_store.hpp"

namespace sequoiaroute::rows {

/// Estimates the response time of the store and derives the timeout of calls.
///
/// The store may become fifty times slower. With a fixed short timeout, calls
/// would then be abandoned and retried, which adds to the load that slows the
/// store down. With a long one, a lost response would delay all later calls.
class latency_estimator
{
public:
    /// Records a response.
    /// @param latency the time from the call to the response
    void record(core::duration latency);

    /// Records a call that timed out. The next timeout is longer.
    void record_timeout();

    /// Records the outcome of a commit.
    /// @param outcome `unknown` counts as a timeout, all others as a response
    /// @param latency how long the caller waited
    void record(commit_outcome outcome, core::duration latency);

    /// @return the recent response time
    core::duration typical_latency() const { return typical_; }

    /// @return the timeout for the next call
    core::duration timeout() const;

private:
    core::duration typical_{5};
};

} // namespace sequoiaroute::rows
