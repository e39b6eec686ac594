#pragma once

#include "core/result.hpp"
#include "rows/row_store.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::notices {

/// An announcement of rows that a process has just written to the store.
struct row_notice
{
    /// IP:PORT to which agents should send reports; empty unless the sender is
    /// the decider.
    std::string decider_address;
    std::vector<rows::row> rows;
};

/// @return the notice as JSON
std::string encode(row_notice const& notice);

/// @return the notice, or bad_request if the text is invalid
core::result<row_notice> decode_row_notice(std::string_view text);

} // namespace sequoiaroute::notices
