#include "core/settings.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::core {
namespace {

std::vector<setting_description> const descriptions{
    {"entry", "address", setting_type::address, "", true},
    {"entry", "period", setting_type::time, "5s", false},
    {"entry", "peers", setting_type::address_list, "", false},
};

std::string error_message_of(std::string_view text)
{
    auto const outcome =
        settings::create_from_text("entry.ini", text, descriptions);
    return is_ok(outcome) ? "" : failure(outcome).message;
}

// Guards against a misspelt key being ignored.
TEST(settings, rejects_unknown_key_with_file_and_line)
{
    EXPECT_EQ(
        error_message_of("[entry]\naddress = 127.0.0.1:80\nperoid = 3s\n"),
        "entry.ini:3: unknown key entry.peroid");
}

// Guards against a time without a unit being read as milliseconds.
TEST(settings, rejects_time_without_unit)
{
    EXPECT_EQ(error_message_of("[entry]\naddress = 127.0.0.1:80\nperiod = 3\n"),
              "entry.ini:3: key entry.period: \"3\" is not a time with unit "
              "ms, s, min or h");
}

TEST(settings, rejects_missing_required_key)
{
    EXPECT_EQ(error_message_of("[entry]\nperiod = 3s\n"),
              "entry.ini: key entry.address is missing");
}

TEST(settings, rejects_key_given_twice)
{
    EXPECT_EQ(error_message_of("[entry]\nperiod = 3s\nperiod = 4s\n"),
              "entry.ini:3: key entry.period is given twice");
}

TEST(settings, reads_values_and_defaults)
{
    auto const outcome =
        settings::create_from_text("entry.ini",
                                   "[entry]\naddress = 127.0.0.1:80\n"
                                   "peers = 127.0.0.1:81, 127.0.0.1:82\n",
                                   descriptions);
    ASSERT_TRUE(is_ok(outcome));
    auto const& settings = value(outcome);
    EXPECT_EQ(settings.time("entry.period"), duration(5000));
    EXPECT_EQ(settings.addresses("entry.peers"),
              (std::vector<std::string>{"127.0.0.1:81", "127.0.0.1:82"}));
}

TEST(settings, reads_decimal_numbers)
{
    std::vector<setting_description> const factor{
        {"bounds", "factor", setting_type::decimal, "3", false}};
    auto const read = [&](std::string_view text) {
        return settings::create_from_text("entry.ini", text, factor);
    };
    EXPECT_EQ(value(read("")).decimal("bounds.factor"), 3);
    EXPECT_EQ(value(read("[bounds]\nfactor = 1.5\n")).decimal("bounds.factor"),
              1.5);
    EXPECT_FALSE(is_ok(read("[bounds]\nfactor = 3x\n")));
    EXPECT_FALSE(is_ok(read("[bounds]\nfactor = -1\n")));
}

} // namespace
} // namespace sequoiaroute::core
