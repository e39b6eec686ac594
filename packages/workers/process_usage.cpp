#include "workers/process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>

namespace sequoiaroute::workers {

core::json process_usage()
{
    core::json usage = core::json::object();
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        std::istringstream fields(line);
        std::string name;
        std::int64_t number = 0;
        if (!(fields >> name >> number))
            continue;
        if (name == "VmRSS:")
            usage["resident_kilobytes"] = number;
        if (name == "Threads:")
            usage["threads"] = number;
    }
    return usage;
}

} // namespace sequoiaroute::workers
