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

/// Rows that other processes are notified of as soon as they are stored,
/// without waiting for the store's feed: start orders and final states of
/// urgent jobs, and all stop orders, since urgent work may wait for the
/// resources they free.
class pending_notices
{
public:
    /// Adds those rows among changes that are about to be written.
    void add(std::span<job_change const> changes);

    /// Removes stored rows from the list and composes the notices of them.
    /// @param written the rows of a committed transaction; others than those
    ///        added are ignored
    /// @param version their version
    /// @param decider IP:PORT of the decider; agents receive notices on the
    ///        same port
    /// @param entries IP:PORT of each other entry
    /// @return the notices by the IP:PORT of the recipient
    std::map<std::string, notices::row_notice>
    take_notices(std::span<rows::row_write const> written,
                 rows::row_version version, std::string const& decider,
                 std::span<std::string const> entries);

private:
    /// The agent to notify of each row; empty for all entries.
    std::map<rows::row_key, std::string> recipients_;
};

} // namespace sequoiaroute::scheduler
