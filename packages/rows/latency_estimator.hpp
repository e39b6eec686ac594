#pragma once

#include "core/clock.hpp"
#include "rows/row_store.hpp"

namespace sequoiaroute::rows {

/// Estimates how long the store takes to answer, and so how long to wait.
///
/// The load that it answers: the store becomes fifty times as slow. Calls that
/// are given up too early and sent again then add to the load that makes it
/// slow; waiting long for an answer that was lost delays everything behind it.
class latency_estimator
{
public:
    /// Takes note of an answer.
    void record(core::duration taken);

    /// Takes note of a call that was given up.
    void record_silence();

    /// Takes note of how a commit went.
    /// @param outcome how it went
    /// @param taken how long the caller waited
    void record(commit_outcome outcome, core::duration taken);

    /// @return the recent time of an answer
    core::duration typical_latency() const { return typical_; }

    /// @return how long to wait for the next answer
    core::duration timeout() const;

private:
    core::duration typical_{5};
};

} // namespace sequoiaroute::rows
