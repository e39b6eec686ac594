#pragma once

#include "core/counters.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace sequoiaroute::peers {

/// Adds the sizes of encoded messages to the counters peers.bytes_sent and
/// peers.bytes_received. The headers of nng and TCP are not counted.
class byte_counters
{
public:
    /// @param counters the counters of the process, which must outlive this
    ///        object; nullptr disables counting
    explicit byte_counters(core::counters* counters)
    {
        if (counters == nullptr)
            return;
        sent_ = &counters->counter("peers.bytes_sent");
        received_ = &counters->counter("peers.bytes_received");
    }

    void add_sent(std::size_t bytes) const { add(sent_, bytes); }
    void add_received(std::size_t bytes) const { add(received_, bytes); }

private:
    static void add(std::atomic<std::int64_t>* counter, std::size_t bytes)
    {
        if (counter != nullptr)
            *counter += static_cast<std::int64_t>(bytes);
    }

    std::atomic<std::int64_t>* sent_ = nullptr;
    std::atomic<std::int64_t>* received_ = nullptr;
};

} // namespace sequoiaroute::peers
