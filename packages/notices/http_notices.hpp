#pragma once

#include "event/http_client.hpp"
#include "event/http_server.hpp"
#include "notices/notice_sender.hpp"

#include <functional>
#include <string>

namespace sequoiaroute::notices {

/// Sends notices over HTTP.
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

/// The handlers of a process for the notices that it receives. Notices whose
/// handler is empty are not accepted.
struct notice_handlers
{
    std::function<void(row_notice)> on_rows;
    /// Receives an encoded report.
    /// @return whether this process is the decider
    std::function<bool(std::string const&)> on_report;
    /// Called when the decider asks this entry to take over.
    std::function<void()> on_takeover;
};

/// Dispatches a request to the handlers and answers it.
/// @param handlers the handlers of this process
/// @param request any request
/// @param respond called only if the request is answered
/// @return whether the request was a notice with a handler; if not, the caller
///         must answer it
bool serve_notice(notice_handlers const& handlers,
                  event::http_request const& request,
                  event::http_responder const& respond);

} // namespace sequoiaroute::notices
