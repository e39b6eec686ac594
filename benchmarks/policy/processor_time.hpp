#pragma once

#include <ctime>

namespace sequoiaroute::benchmarks {

/// @return the CPU time of the calling thread in microseconds. Unlike elapsed
///         time it does not grow while other programs use the machine.
inline double thread_cpu_microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace sequoiaroute::benchmarks
