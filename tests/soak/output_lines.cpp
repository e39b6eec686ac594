#include "soak/output_lines.hpp"

#include <fstream>

namespace sequoiaroute::soak {

std::vector<std::string>
read_output_lines(std::filesystem::path const& directory)
{
    std::vector<std::string> lines;
    for (auto const& entry : std::filesystem::directory_iterator(directory)) {
        if (entry.path().extension() != ".output")
            continue;
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    return lines;
}

} // namespace sequoiaroute::soak
