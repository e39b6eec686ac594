#include "core/identifier.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::core {
namespace {

TEST(identifier, constant_time_comparison_agrees_with_equality)
{
    EXPECT_TRUE(is_equal_constant_time("abc", "abc"));
    EXPECT_FALSE(is_equal_constant_time("abc", "abd"));
    EXPECT_FALSE(is_equal_constant_time("abc", "abcabc"));
    EXPECT_FALSE(is_equal_constant_time("abc", ""));
    EXPECT_FALSE(is_equal_constant_time("", "a"));
}

// Guards against ids that would address another object key or URL path.
TEST(identifier, rejects_separators_dot_segments_and_invalid_lengths)
{
    EXPECT_TRUE(is_identifier("proof-17.a_b"));
    EXPECT_FALSE(is_identifier(""));
    EXPECT_FALSE(is_identifier("a/b"));
    EXPECT_FALSE(is_identifier("."));
    EXPECT_FALSE(is_identifier(".."));
    EXPECT_FALSE(is_identifier(std::string(65, 'a')));
}

} // namespace
} // namespace sequoiaroute::core
