#include "agents/executor_announcement.hpp"

#include <utility>

namespace sequoiaroute::agents {

void executor_announcement::record(heartbeat received,
                                   core::time_point received_at)
{
    bool const is_repeated =
        heartbeat_ && heartbeat_->worker.executor == received.worker.executor;
    if (!is_repeated)
        received_at_ = received_at;
    heartbeat_ = std::move(received);
}

bool executor_announcement::is_confirmed_by(std::int64_t born_ms,
                                            core::time_point requested_at) const
{
    return heartbeat_ && received_at_ <= requested_at &&
           heartbeat_->worker.executor.born_ms == born_ms;
}

bool executor_announcement::is_refuted_by(core::time_point requested_at) const
{
    return heartbeat_ && received_at_ <= requested_at;
}

std::optional<executor_announcement::heartbeat> executor_announcement::take()
{
    return std::exchange(heartbeat_, std::nullopt);
}

} // namespace sequoiaroute::agents
