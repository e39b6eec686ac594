#pragma once

#include "notices/row_notice.hpp"

#include <functional>
#include <string>

namespace sequoiaroute::notices {

/// Tells other processes at once what the store's feeds tell them later.
///
/// The load that it answers: the store becomes fifty times as slow, or its
/// feeds are silent for a second, while urgent jobs have half a second to
/// spare. A notice that is lost costs nothing but this time: what counts is in
/// the store.
class notice_sender
{
public:
    virtual ~notice_sender() = default;

    /// Tells of rows that are stored.
    /// @param address IP:PORT of the process
    /// @param notice the rows
    virtual void send_rows(std::string const& address,
                           row_notice const& notice) = 0;

    /// Tells the decider what a worker does; the report need not be stored.
    /// @param address IP:PORT of the decider
    /// @param report the encoded report
    /// @param done receives whether the process is the decider
    virtual void send_report(std::string const& address, std::string report,
                             std::function<void(bool)> done) = 0;

    /// Asks an entry to become the decider, since the store refuses this one.
    /// @param address IP:PORT of the entry
    virtual void request_takeover(std::string const& address) = 0;
};

} // namespace sequoiaroute::notices
