#include "operators/operator_keys.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::operators {
namespace {

TEST(operator_keys, finds_the_operator_of_a_key)
{
    auto const keys = operator_keys::create_from_text(
        "operators", "# operators\nida k1\ndana k2\n");
    ASSERT_TRUE(core::is_ok(keys));
    EXPECT_EQ(core::value(keys).find_operator("Bearer k2"), "dana");
    EXPECT_EQ(core::value(keys).find_operator("Bearer k3"), std::nullopt);
    EXPECT_EQ(core::value(keys).find_operator("Bearer "), std::nullopt);
    EXPECT_EQ(core::value(keys).find_operator("k2"), std::nullopt);
}

// Guards against printing a key in the error about its line.
TEST(operator_keys, error_names_the_line_but_not_the_key)
{
    auto const keys =
        operator_keys::create_from_text("operators", "ida k1 secret\n");
    ASSERT_FALSE(core::is_ok(keys));
    EXPECT_EQ(core::failure(keys).message, "operators:1: is not \"NAME KEY\"");
}

} // namespace
} // namespace sequoiaroute::operators
