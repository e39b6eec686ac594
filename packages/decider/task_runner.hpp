#pragma once

#include <functional>

namespace sequoiaroute::decider {

/// Runs functions that may block on other processes.
class task_runner
{
public:
    virtual ~task_runner() = default;

    /// @param task the function to run, either in this call or later on another
    ///        thread; dropped if the runner has been stopped
    virtual void post(std::function<void()> task) = 0;
};

} // namespace sequoiaroute::decider
