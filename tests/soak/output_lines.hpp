#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// @param directory contains the output files of the processes
/// @return the lines of all output files
std::vector<std::string>
read_output_lines(std::filesystem::path const& directory);

} // namespace sequoiaroute::soak
