#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>

namespace review {

/// @return milliseconds since the start of this process
inline std::int64_t now_ms()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start)
        .count();
}

/// @return milliseconds since 1970
inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Writes what was sent, answered and run, with times, to a file.
class record
{
public:
    explicit record(std::string const& path) : file_(path) {}

    void line(std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        file_ << std::setw(7) << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review
