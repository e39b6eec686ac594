#include "core/address.hpp"
#include "core/codec.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::core {
namespace {

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

template <class Value>
bool converts(json const& document)
{
    return is_ok(message_from<Value>(document));
}

// Guards against a process that ends because the library reads, copies or
// prints a deeply nested document recursively.
TEST(codec, refuses_deep_nesting)
{
    EXPECT_TRUE(is_ok(parse_json(nested_arrays(max_document_depth))));
    EXPECT_FALSE(is_ok(parse_json(nested_arrays(max_document_depth + 1))));
    EXPECT_FALSE(is_ok(parse_json(nested_arrays(200'000))));
    EXPECT_FALSE(is_ok(parse_json(std::string(200'000, '{'))));
    std::vector<std::uint8_t> const message(200'000, 0x91);
    EXPECT_FALSE(is_ok(decode(message)));
    EXPECT_TRUE(is_ok(parse_json(R"({"a":"[[[[\"[[","b":[{}]})")));
}

// Guards against a process that runs out of memory because the values of a text
// take far more of it than the text.
TEST(codec, refuses_too_many_values)
{
    auto const array_of = [](std::size_t count) {
        std::string text = "[0";
        for (std::size_t index = 1; index < count; ++index)
            text += ",0";
        return text + "]";
    };
    EXPECT_TRUE(is_ok(parse_json(array_of(max_document_values - 2))));
    EXPECT_FALSE(is_ok(parse_json(array_of(max_document_values))));
    std::string const commas(max_document_values, ',');
    EXPECT_TRUE(is_ok(parse_json('"' + commas + '"')));
}

// Guards against an exception that leaves the parser: a number too large for
// the library is an error of another kind than a syntax error.
TEST(codec, reports_every_fault_of_a_text)
{
    for (auto const* text : {"", "[1e400]", "{\"a\":", "\xff", "[1,]", "nul"})
        EXPECT_FALSE(is_ok(parse_json(text))) << text;
    EXPECT_FALSE(is_ok(decode({})));
}

// Guards against numbers that are changed without notice when they do not fit.
TEST(codec, converts_only_numbers_in_range)
{
    EXPECT_TRUE(converts<std::int32_t>(2'147'483'647));
    EXPECT_FALSE(converts<std::int32_t>(2'147'483'648));
    EXPECT_FALSE(converts<std::int64_t>(9'223'372'036'854'775'808U));
    EXPECT_FALSE(converts<std::int64_t>(1e300));
    EXPECT_FALSE(converts<std::int64_t>(9'223'372'036'854'775'808.0));
    EXPECT_TRUE(converts<std::int64_t>(-9'223'372'036'854'775'808.0));
    EXPECT_FALSE(converts<std::uint64_t>(-1));
    EXPECT_FALSE(converts<std::uint16_t>(70'000));
    EXPECT_FALSE(converts<int>(true));
    EXPECT_FALSE(converts<int>("1"));
    EXPECT_FALSE(converts<bool>(1));
    EXPECT_EQ(value(message_from<int>(2.5)), 2);
}

TEST(codec, bounds_counts_durations_and_factors)
{
    auto const is_valid = [](auto const& convert, json const& document) {
        return is_ok(convert_document<bool>(document, [&](json const& source) {
            convert(source);
            return true;
        }));
    };
    EXPECT_TRUE(is_valid(to_count, max_count));
    EXPECT_FALSE(is_valid(to_count, max_count + 1));
    EXPECT_FALSE(is_valid(to_count, -1));
    EXPECT_FALSE(is_valid(to_duration, -1));
    EXPECT_FALSE(is_valid(to_duration, 1e300));
    EXPECT_FALSE(is_valid(to_factor, 1e300));
    EXPECT_FALSE(is_valid(to_factor, -1));
    EXPECT_FALSE(is_valid(elements_of, json::object()));
    EXPECT_EQ(to_percent(-7), 0);
    EXPECT_EQ(to_percent(700), 100);
}

TEST(codec, reads_a_field_or_its_fallback)
{
    json const document{{"number", 3}, {"text", "a"}};
    EXPECT_EQ(valid_field_or(document, "number", 0), 3);
    EXPECT_EQ(valid_field_or(document, "text", 7), 7);
    EXPECT_EQ(valid_field_or(document, "other", 7), 7);
    EXPECT_EQ(valid_field_or(json::array({1}), "number", 7), 7);
}

// Guards against a connection to another port than the one that was given, and
// against the lookup of a name.
TEST(address, accepts_ip_addresses_with_a_port)
{
    auto const parsed = parse_address("10.0.0.1:65535");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->host, "10.0.0.1");
    EXPECT_EQ(parsed->port, 65'535);
    for (auto const* text :
         {"10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:8x",
          "10.0.0.1:", "10.0.0.1", "10.0.0:80", "host:80", ":80", ""})
        EXPECT_FALSE(parse_address(text)) << text;
}

} // namespace
} // namespace sequoiaroute::core
