#pragma once

#include "core/result.hpp"
#include "rows/row_store.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::notices {

/// Rows that a process has just written.
struct row_notice
{
    /// IP:PORT on which the sender takes reports; empty unless it is the
    /// decider.
    std::string decider_address;
    std::vector<rows::row> rows;
};

std::string encode(row_notice const& notice);

/// @return the notice, or bad_request if the text is not one
core::result<row_notice> decode_row_notice(std::string_view text);

} // namespace sequoiaroute::notices
