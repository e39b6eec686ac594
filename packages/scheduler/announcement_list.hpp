#pragma once

#include "notices/row_notice.hpp"
#include "rows/row_store.hpp"
#include "scheduler/change_list.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::scheduler {

/// The rows that other processes are told about as soon as they are stored:
/// the orders and the ends of urgent work, and stops, which make room for it.
class announcement_list
{
public:
    /// Remembers the rows of changes that are about to be written.
    void add(std::span<job_change const> changes);

    /// Gives the notices for rows that have been stored, and forgets them.
    /// @param written rows that were stored
    /// @param version their version
    /// @param decider IP:PORT of the decider; agents take notices on its port
    /// @param entries IP:PORT of each other entry
    /// @return the notices by the address of the receiver
    std::map<std::string, notices::row_notice>
    take(std::span<rows::row_write const> written, rows::row_version version,
         std::string const& decider, std::span<std::string const> entries);

private:
    /// The agent that a row is for; empty if it is for all entries.
    std::map<rows::row_key, std::string> receivers_;
};

} // namespace sequoiaroute::scheduler
