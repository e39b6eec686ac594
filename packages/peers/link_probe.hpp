#pragma once

#include "core/clock.hpp"
#include "peers/nng_connection.hpp"

#include <atomic>
#include <memory>

namespace sequoiaroute::peers {

/// A single asynchronous ping that tests whether a connection still delivers
/// data. No thread blocks on it; is_done() is polled.
class link_probe
{
public:
    /// Starts to send the ping.
    /// @param connection the connection to test
    /// @param ping the envelope of the ping
    /// @param time_limit the timeout of sending the ping, and then again of
    ///        receiving its answer
    link_probe(std::shared_ptr<nng_connection> connection, envelope const& ping,
               core::duration time_limit);
    link_probe(link_probe const&) = delete;
    link_probe& operator=(link_probe const&) = delete;

    /// @return true once the ping was answered, or failed or timed out
    bool is_done() const { return state_ >= state::answered; }

    /// @return true if the ping was answered
    bool is_answered() const { return state_ == state::answered; }

private:
    enum class state
    {
        sending,
        receiving,
        answered,
        failed,
    };

    static void completion_callback(void* argument);
    void handle_completion();

    std::shared_ptr<nng_connection> connection_;
    context_handle context_;
    std::atomic<state> state_ = state::sending;
    /// Must be the last member: its destructor waits for the callback, which
    /// uses the other members.
    operation_handle operation_;
};

} // namespace sequoiaroute::peers
