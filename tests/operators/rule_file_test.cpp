#include "operators/rule_file.hpp"

#include "operators/rule_difference.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::operators {
namespace {

/// @return the error of parsing the text, empty if there is none
std::string error_message(std::string_view text)
{
    auto const outcome = parse_rules("rules.txt", text);
    return is_ok(outcome) ? "" : failure(outcome).message;
}

struct invalid_file_case
{
    char const* text;
    char const* message;

    // The default output contains addresses, which would make the test names
    // differ between runs.
    friend std::ostream& operator<<(std::ostream& stream,
                                    invalid_file_case const& invalid_file)
    {
        return stream << invalid_file.message;
    }
};

class rule_file_errors : public testing::TestWithParam<invalid_file_case>
{
};

// Guards against accepting an invalid file, and against errors without their
// location.
TEST_P(rule_file_errors, error_has_file_line_and_column)
{
    EXPECT_EQ(error_message(GetParam().text), GetParam().message);
}

INSTANTIATE_TEST_SUITE_P(
    all, rule_file_errors,
    testing::Values(
        invalid_file_case{
            "customer press priority=10\n",
            "rules.txt:1:27: the rule needs a comment \"# asked for by "
            "NAME\""},
        invalid_file_case{
            "customer press # asked for by \n",
            "rules.txt:1:16: the rule needs a comment \"# asked for by "
            "NAME\""},
        invalid_file_case{
            "\n# note\ncustomer press prioritee=1 # asked for by Ida\n",
            "rules.txt:3:16: unknown key prioritee for customer"},
        invalid_file_case{
            "customer a # asked for by I\ncustomer a # asked for by I",
            "rules.txt:2:10: customer a is defined twice"},
        invalid_file_case{"limit b queued_jobs=1 # asked for by Ida",
                          "rules.txt:1:7: unknown customer b"},
        invalid_file_case{
            "customer a priority=1001 # asked for by Ida",
            "rules.txt:1:21: priority=\"1001\" is not a number from 0 "
            "to 1000"},
        invalid_file_case{
            "customer a priority=1x # asked for by Ida",
            "rules.txt:1:21: priority=\"1x\" is not a number from 0 to "
            "1000"},
        invalid_file_case{
            "customer a priority=99999999999999 # asked for by Ida",
            "rules.txt:1:21: priority=\"99999999999999\" is not a "
            "number from 0 to 1000"},
        invalid_file_case{"customer a\xff # asked for by Ida",
                          "rules.txt:1:10: \"a\xff\" is not a customer's name"},
        invalid_file_case{"customer # asked for by Ida",
                          "rules.txt:1:9: the name of the customer is missing"},
        invalid_file_case{"tenant a # asked for by Ida",
                          "rules.txt:1:1: \"tenant\" is not customer, limit or "
                          "guarantee"},
        invalid_file_case{"customer a priority=1 priority=2 # asked for by Ida",
                          "rules.txt:1:23: key priority is given twice"},
        invalid_file_case{
            "customer a # asked for by Ida\n"
            "guarantee a cells=1 # asked for by Ida",
            "rules.txt:2:1: guarantee needs the key accelerators"},
        invalid_file_case{
            "customer a # asked for by Ida\n"
            "guarantee a cells=1 accelerators=1 within=row # asked for "
            "by Ida",
            "rules.txt:2:43: within=\"row\" is not any, data_centre, "
            "rack or worker"},
        invalid_file_case{"customer a # asked for by Ida\n"
                          "limit a queued_jobs=1 # asked for by Ida\n"
                          "limit a queued_jobs=2 # asked for by Ida\n",
                          "rules.txt:3:7: limits of a are given twice"}));

TEST(rule_file, parses_customers_limits_and_guarantees)
{
    auto const outcome = parse_rules(
        "rules.txt",
        "limit press queued_jobs=7 accelerators=64 # asked for by Dana\n"
        "customer press priority=10 # asked for by Dana Reyes\r\n"
        "guarantee press cells=2 accelerators=8 within=rack # asked for by I\n"
        "guarantee press cells=1 accelerators=4 # asked for by Ida Toth");
    ASSERT_TRUE(is_ok(outcome)) << failure(outcome).message;
    auto const& press = value(outcome).customers.at("press");
    EXPECT_EQ(press.priority, 10);
    EXPECT_EQ(press.limits.queued_jobs, 7);
    EXPECT_EQ(press.limits.requests_per_second, 20);
    ASSERT_EQ(press.guarantees.size(), 2U);
    EXPECT_EQ(press.guarantees[0],
              (policy::guaranteed_shape{2, 8, policy::adjacency::rack}));
    EXPECT_EQ(press.guarantees[1],
              (policy::guaranteed_shape{1, 4, policy::adjacency::worker}));
}

// Guards against conflict messages that contain unchanged lines or lack changed
// ones.
TEST(rule_difference, shows_only_changed_lines)
{
    EXPECT_EQ(format_changed_lines(
                  find_changed_lines("a\nb\nc\nd\n", "a\nc\nx\nd\n")),
              "- 2: b\n+ 3: x\n");
    EXPECT_EQ(format_changed_lines(find_changed_lines("a\n", "a\n")), "");
    EXPECT_EQ(format_changed_lines(find_changed_lines("", "a\n")), "+ 1: a\n");
}

} // namespace
} // namespace sequoiaroute::operators
