#pragma once

#include "notices/notice_sender.hpp"

#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::support {

/// Records notices by address instead of sending them.
class recording_notice_sender final : public notices::notice_sender
{
public:
    void send_rows(std::string const& address,
                   notices::row_notice const& notice) override
    {
        rows[address].push_back(notice);
    }

    void send_report(std::string const& address, std::string report,
                     std::function<void(bool)> done) override
    {
        reports[address].push_back(std::move(report));
        done(accepts_reports);
    }

    void request_takeover(std::string const& address) override
    {
        takeover_requests.push_back(address);
    }

    std::map<std::string, std::vector<notices::row_notice>> rows;
    std::map<std::string, std::vector<std::string>> reports;
    std::vector<std::string> takeover_requests; ///< addresses, in order
    bool accepts_reports = true;                ///< the result of send_report()
};

} // namespace sequoiaroute::support
