#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// @return milliseconds of a steady clock
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Writes record.txt: what was sent, answered and run, with the time in
/// milliseconds since the start of the script.
class record
{
public:
    explicit record(std::string const& path) : file_(path) {}

    void add(std::string const& line)
    {
        std::lock_guard const lock(mutex_);
        file_ << now_ms() - began_ << ' ' << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t began_ = now_ms();
};

} // namespace review
