#include "programs/stop_signal.hpp"

#include <csignal>
#include <ctime>

namespace sequoiaroute::programs {

namespace {

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

stop_signal::stop_signal()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool stop_signal::wait(core::duration timeout) const
{
    auto const signals = stop_signals();
    auto const seconds = std::chrono::floor<std::chrono::seconds>(timeout);
    std::chrono::nanoseconds const remainder = timeout - seconds;
    timespec const relative_time{seconds.count(), remainder.count()};
    return sigtimedwait(&signals, nullptr, &relative_time) > 0;
}

} // namespace sequoiaroute::programs
