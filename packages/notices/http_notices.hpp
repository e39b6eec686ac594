#pragma once

#include "event/http_client.hpp"
#include "event/http_server.hpp"
#include "notices/notice_sender.hpp"

#include <functional>
#include <string>

namespace sequoiaroute::notices {

/// Sends notices by HTTP.
class http_notice_sender final : public notice_sender
{
public:
    /// @param client sends the calls
    explicit http_notice_sender(event::http_client& client) : client_(client) {}

    void send_rows(std::string const& address,
                   row_notice const& notice) override;
    void send_report(std::string const& address, std::string report,
                     std::function<void(bool)> done) override;
    void request_takeover(std::string const& address) override;

private:
    void post(std::string const& address, std::string path, std::string body,
              event::http_client::callback done);

    event::http_client& client_;
};

/// What a process does with notices; a member that is empty refuses them.
struct notice_handlers
{
    std::function<void(row_notice)> on_rows;
    /// @return whether this process is the decider
    std::function<bool(std::string const&)> on_report;
    std::function<void()> on_takeover;
};

/// Answers a request if it is a notice.
/// @return whether it was one
bool serve_notice(notice_handlers const& handlers,
                  event::http_request const& request,
                  event::http_responder const& respond);

} // namespace sequoiaroute::notices
