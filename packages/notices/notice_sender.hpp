#pragma once

#include "notices/row_notice.hpp"

#include <functional>
#include <string>

namespace sequoiaroute::notices {

/// Sends notices directly to other processes, ahead of the store's feeds.
///
/// Urgent jobs can afford a delay of half a second, but the store may become
/// fifty times slower, or its feeds may stall for a second. Notices are best
/// effort: the store remains authoritative, so that a lost notice only costs
/// the time that it would have saved.
class notice_sender
{
public:
    virtual ~notice_sender() = default;

    /// Announces rows that have been stored.
    /// @param address IP:PORT of the process
    /// @param notice the rows, and the sender's address if it is the decider
    virtual void send_rows(std::string const& address,
                           row_notice const& notice) = 0;

    /// Sends the state of a worker to the decider. The report may not have been
    /// stored yet.
    /// @param address IP:PORT of the decider
    /// @param report the encoded report
    /// @param done receives whether the receiver accepted the report as the
    ///        decider; false also if there is no answer
    virtual void send_report(std::string const& address, std::string report,
                             std::function<void(bool)> done) = 0;

    /// Asks another entry to become the decider. Used by the decider when the
    /// store refuses its calls.
    /// @param address IP:PORT of the other entry
    virtual void request_takeover(std::string const& address) = 0;
};

} // namespace sequoiaroute::notices
