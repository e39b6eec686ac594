#include "notices/http_notices.hpp"

#include "core/event_log.hpp"

namespace sequoiaroute::notices {

namespace {

constexpr std::string_view rows_path = "/rows";
constexpr std::string_view report_path = "/report";
constexpr std::string_view takeover_path = "/takeover";
/// A notice that arrives later is useless, since the store's feed delivers the
/// rows sooner.
constexpr core::duration notice_timeout{400};

event::http_response make_answer(int status)
{
    return {status, {}, "{}", "application/json"};
}

event::http_response handle_rows(notice_handlers const& handlers,
                                 std::string const& body)
{
    auto notice = decode_row_notice(body);
    if (!core::is_ok(notice)) {
        core::log_event("notice_unreadable",
                        {{"fault", core::failure(notice).message}});
        return make_answer(400);
    }
    handlers.on_rows(core::value(std::move(notice)));
    return make_answer(200);
}

} // namespace

void http_notice_sender::post(std::string const& address, std::string path,
                              std::string body,
                              event::http_client::callback done)
{
    client_.call(
        {address, "POST", std::move(path), {}, std::move(body), notice_timeout},
        std::move(done));
}

void http_notice_sender::send_rows(std::string const& address,
                                   row_notice const& notice)
{
    post(address, std::string(rows_path), encode(notice),
         [](event::http_call_result const&) {
             // If the notice is lost, the store's feed delivers the rows.
         });
}

void http_notice_sender::send_report(std::string const& address,
                                     std::string report,
                                     std::function<void(bool)> done)
{
    post(address, std::string(report_path), std::move(report),
         [done = std::move(done)](event::http_call_result const& reply) {
             done(reply.is_success());
         });
}

void http_notice_sender::request_takeover(std::string const& address)
{
    post(address, std::string(takeover_path), "{}",
         [](event::http_call_result const&) {
             // If the request is lost, the entry takes over once the decider's
             // lease has not been renewed for long enough.
         });
}

bool serve_notice(notice_handlers const& handlers,
                  event::http_request const& request,
                  event::http_responder const& respond)
{
    if (request.path == rows_path && handlers.on_rows) {
        respond(handle_rows(handlers, request.body));
        return true;
    }
    if (request.path == report_path && handlers.on_report) {
        constexpr int not_decider_status = 409;
        respond(make_answer(
            handlers.on_report(request.body) ? 200 : not_decider_status));
        return true;
    }
    if (request.path == takeover_path && handlers.on_takeover) {
        handlers.on_takeover();
        respond(make_answer(200));
        return true;
    }
    return false;
}

} // namespace sequoiaroute::notices
