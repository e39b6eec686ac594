#include "programs/command_line.hpp"

#include "http/http_client.hpp"
#include "programs/failover_client.hpp"
#include "programs/flags.hpp"

#include <absl/flags/flag.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::programs {
namespace {

using core::result_code;

/// @return the error of parsing the arguments, empty if there is none
std::string error_message(std::vector<std::string> const& arguments)
{
    auto const outcome = parse_command_line(arguments);
    return core::is_ok(outcome) ? "" : core::failure(outcome).message;
}

// Guards against ignoring a misspelled flag, which would for example send an
// unrepeatable request as a repeatable one.
TEST(command_line, rejects_unknown_commands_and_flags)
{
    EXPECT_EQ(error_message({}), "no command is given; see --help");
    EXPECT_EQ(error_message({"sumbit"}), "unknown command sumbit; see --help");
    EXPECT_EQ(error_message({"submit", "request", "--unrepeateble"}),
              "submit has no flag --unrepeateble; see submit --help");
    EXPECT_EQ(error_message({"status", "--wait"}),
              "status has no flag --wait; see status --help");
    EXPECT_EQ(error_message({"rules", "apply", "f", "--generation=x"}),
              "flag --generation: \"x\" is not valid");
    EXPECT_EQ(error_message({"submit", "job", "--kind"}),
              "flag --kind needs a value");
}

TEST(command_line, sets_flags_and_keeps_operands)
{
    auto const outcome = parse_command_line(
        {"submit", "job", "--kind", "scan", "--members=4", "--unrepeatable"});
    ASSERT_TRUE(core::is_ok(outcome));
    EXPECT_EQ(core::value(outcome).operands, std::vector<std::string>{"job"});
    EXPECT_EQ(absl::GetFlag(FLAGS_kind), "scan");
    EXPECT_EQ(absl::GetFlag(FLAGS_members), 4);
    EXPECT_TRUE(absl::GetFlag(FLAGS_unrepeatable));
}

TEST(command_line, every_command_has_help)
{
    for (auto const* const command :
         {"serve", "rules", "submit", "status", "cancel", "dump"}) {
        auto const outcome = parse_command_line({command, "--help"});
        ASSERT_TRUE(core::is_ok(outcome));
        EXPECT_TRUE(core::value(outcome).wants_help);
        EXPECT_THAT(help_text(command), testing::HasSubstr(command));
    }
}

class mock_client final : public http::http_client
{
public:
    MOCK_METHOD(core::result<http::http_response>, send,
                (std::string_view address, http::http_request const& request,
                 core::duration time_limit),
                (override));
};

// Guards against giving up because one entry is unreachable or stopping.
TEST(failover_client, tries_the_next_entry_after_a_failure)
{
    mock_client client;
    EXPECT_CALL(client, send(testing::Eq("a"), testing::_, testing::_))
        .WillOnce(
            testing::Return(core::error{result_code::unreachable, "refused"}));
    EXPECT_CALL(client, send(testing::Eq("b"), testing::_, testing::_))
        .WillOnce(testing::Return(
            http::error_response({result_code::stopping_not_run, "stopping"})));
    EXPECT_CALL(client, send(testing::Eq("c"), testing::_, testing::_))
        .WillOnce(testing::Return(http::http_response{200, {}, "{}"}));
    failover_client entries(client, {"a", "b", "c"}, "key");
    EXPECT_TRUE(core::is_ok(entries.query("GET", "/v1/jobs")));
}

TEST(failover_client, returns_the_error_of_an_entry)
{
    mock_client client;
    EXPECT_CALL(client, send(testing::Eq("a"), testing::_, testing::_))
        .WillOnce(testing::Return(http::error_response(
            {result_code::rules_conflict, "changed lines"})));
    failover_client entries(client, {"a", "b"}, "");
    auto const outcome = entries.query("GET", "/v1/rules");
    EXPECT_EQ(core::code_of(outcome), result_code::rules_conflict);
    EXPECT_EQ(core::failure(outcome).message, "changed lines");
}

} // namespace
} // namespace sequoiaroute::programs
