#include "notices/http_notices.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::notices {
namespace {

/// Passes each call directly to the handlers of the receiving process.
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
        event::http_call_result reply;
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

TEST_F(http_notices_test, transfers_rows_unchanged)
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

// Guards against agents that keep sending reports to a former decider.
TEST_F(http_notices_test, reports_whether_the_receiver_is_the_decider)
{
    bool is_decider = true;
    client.handlers.on_report = [&](std::string const& text) {
        EXPECT_EQ(text, "report");
        return is_decider;
    };
    std::vector<bool> results;
    auto const record = [&](bool is_accepted) {
        results.push_back(is_accepted);
    };
    sender.send_report("10.0.0.1:7000", "report", record);
    is_decider = false;
    sender.send_report("10.0.0.1:7000", "report", record);
    EXPECT_EQ(results, (std::vector<bool>{true, false}));
}

TEST_F(http_notices_test, rejects_invalid_notices)
{
    bool has_rows = false;
    client.handlers.on_rows = [&](row_notice const&) { has_rows = true; };
    sender.request_takeover("10.0.0.2:7000");
    EXPECT_FALSE(client.was_notice);
    EXPECT_FALSE(core::is_ok(decode_row_notice("no notice")));
    EXPECT_FALSE(core::is_ok(decode_row_notice(R"({"decider":"a"})")));
    EXPECT_FALSE(has_rows);
}

} // namespace
} // namespace sequoiaroute::notices
