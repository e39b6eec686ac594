#include "notices/http_notices.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::notices {
namespace {

/// Hands each call to the handlers of the process that it is sent to.
class direct_client final : public event::http_client
{
public:
    void call(event::http_call call, callback done) override
    {
        last_timeout = call.timeout;
        event::http_request request;
        request.method = call.method;
        request.path = call.path;
        request.body = call.body;
        event::http_reply reply;
        bool const is_notice =
            serve_notice(handlers, request, [&](auto const& answer) {
                reply.status = answer.status;
            });
        was_notice = is_notice;
        done(reply);
    }

    notice_handlers handlers;
    bool was_notice = false;
    core::duration last_timeout{0};
};

class http_notices_test : public testing::Test
{
public:
    http_notices_test() : sender(client) {}

    direct_client client;
    http_notice_sender sender;
};

TEST_F(http_notices_test, carries_rows_as_they_are_stored)
{
    row_notice received;
    client.handlers.on_rows = [&](row_notice notice) {
        received = std::move(notice);
    };
    sender.send_rows("10.0.0.2:7000",
                     {"10.0.0.1:7000", {{{"t", "p", "k"}, "v\n", 17, false}}});
    EXPECT_EQ(received.decider_address, "10.0.0.1:7000");
    ASSERT_EQ(received.rows.size(), 1U);
    EXPECT_EQ(received.rows[0].key, (rows::row_key{"t", "p", "k"}));
    EXPECT_EQ(received.rows[0].value, "v\n");
    EXPECT_EQ(received.rows[0].version, 17U);
}

// Guards against agents that go on sending reports to an earlier decider.
TEST_F(http_notices_test, tells_whether_a_report_reached_the_decider)
{
    bool is_decider = true;
    client.handlers.on_report = [&](std::string const& text) {
        EXPECT_EQ(text, "report");
        return is_decider;
    };
    std::vector<bool> taken;
    auto const note = [&](bool is_taken) { taken.push_back(is_taken); };
    sender.send_report("10.0.0.1:7000", "report", note);
    is_decider = false;
    sender.send_report("10.0.0.1:7000", "report", note);
    EXPECT_EQ(taken, (std::vector<bool>{true, false}));
}

TEST_F(http_notices_test, refuses_what_is_no_notice)
{
    bool is_rows = false;
    client.handlers.on_rows = [&](row_notice const&) { is_rows = true; };
    sender.request_takeover("10.0.0.2:7000");
    EXPECT_FALSE(client.was_notice);
    EXPECT_FALSE(core::is_ok(decode_row_notice("no notice")));
    EXPECT_FALSE(core::is_ok(decode_row_notice(R"({"decider":"a"})")));
    EXPECT_FALSE(is_rows);
}

} // namespace
} // namespace sequoiaroute::notices
