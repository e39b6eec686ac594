#include "jobs/rules.hpp"

namespace sequoiaroute::jobs {

queue_rule const* rules::find_queue(std::string_view host,
                                    std::string_view path) const
{
    queue_rule const* best = nullptr;
    for (auto const& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.path_prefix))
            continue;
        if (best == nullptr ||
            queue.path_prefix.size() > best->path_prefix.size())
            best = &queue;
    }
    return best;
}

} // namespace sequoiaroute::jobs
