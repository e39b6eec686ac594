#include "agents/executor_runtime.hpp"

namespace sequoiaroute::agents {

std::string_view name(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::done:
        return "done";
    case order_outcome::wrong_executor:
        return "wrong_executor";
    case order_outcome::too_late:
        return "too_late";
    case order_outcome::refused:
        return "refused";
    case order_outcome::busy:
        return "busy";
    case order_outcome::not_reached:
        return "not_reached";
    case order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace sequoiaroute::agents
