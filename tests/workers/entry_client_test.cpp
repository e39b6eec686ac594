#include "workers/entry_client.hpp"
#include "workers/mocks.hpp"

#include "support/manual_clock.hpp"

#include <set>

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;
using testing::_;
using testing::NiceMock;
using testing::Return;

class entry_client_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ON_CALL(links_, link_to(_)).WillByDefault([this](auto address) {
            address_ = address;
            return link_;
        });
        ON_CALL(*link_, call(_, _, _))
            .WillByDefault(
                [this](auto, core::json const& body,
                       auto) -> core::result<peers::answer_envelope> {
                    if (unreachable_addresses_.contains(address_))
                        return unreachable();
                    reported_addresses_.push_back(address_);
                    last_body_ = body;
                    return ok_answer(answer_);
                });
        for (auto const* const name : {"e1", "e2", "e3"})
            answer_.entries.push_back({name, "i", name, "", ""});
    }

    support::manual_clock clock_;
    NiceMock<mock_link_pool> links_;
    std::shared_ptr<NiceMock<mock_link>> link_ =
        std::make_shared<NiceMock<mock_link>>();
    std::string address_; ///< of the last link_to()
    std::set<std::string> unreachable_addresses_;
    std::vector<std::string> reported_addresses_;
    core::json last_body_;
    peers::report_answer answer_;
    bool is_leaving_ = false;
    entry_client entry_client_{{"agent-1", {"seed"}}, clock_, links_, [this] {
                                   peers::target_report report;
                                   report.is_leaving = is_leaving_;
                                   return report;
                               }};
};

TEST_F(entry_client_test, reports_every_period_and_faster_while_leaving)
{
    for (int step = 0; step < 40; ++step) {
        entry_client_.tick();
        clock_.advance(250ms);
    }
    EXPECT_EQ(reported_addresses_.size(), 2U);
    is_leaving_ = true;
    EXPECT_TRUE(entry_client_.send_report());
    for (int step = 0; step < 8; ++step) {
        clock_.advance(250ms);
        entry_client_.tick();
    }
    EXPECT_EQ(reported_addresses_.size(), 5U);
    EXPECT_EQ(last_body_.at("sequence"), 5);
}

// Guards against agents that keep reporting to an entry that is down.
TEST_F(entry_client_test, fails_over_to_next_entry_and_then_to_seeds)
{
    entry_client_.send_report();
    EXPECT_EQ(reported_addresses_.back(), "seed");
    entry_client_.send_report();
    auto const home = reported_addresses_.back();
    EXPECT_NE(home, "seed");
    entry_client_.send_report();
    EXPECT_EQ(reported_addresses_.back(), home);
    unreachable_addresses_.insert(home);
    EXPECT_TRUE(entry_client_.send_report());
    EXPECT_NE(reported_addresses_.back(), home);
    unreachable_addresses_ = {"e1", "e2", "e3"};
    EXPECT_TRUE(entry_client_.send_report());
    EXPECT_EQ(reported_addresses_.back(), "seed");
    unreachable_addresses_.insert("seed");
    EXPECT_FALSE(entry_client_.send_report());
}

// Guards against a starting entry that reads older rules from the agents than
// those in force.
TEST_F(entry_client_test, keeps_the_highest_rules_generation)
{
    answer_.rules_generation = 7;
    answer_.rules = "seven";
    entry_client_.send_report();
    answer_.rules_generation = 6;
    answer_.rules = "six";
    entry_client_.send_report();
    auto const rules = entry_client_.rules();
    EXPECT_EQ(rules.at("rules_generation"), 7);
    EXPECT_EQ(rules.at("rules"), "seven");
    entry_client_.send_report();
    EXPECT_EQ(last_body_.at("rules_generation"), 7);
}

TEST_F(entry_client_test, measures_silence_and_authority_age)
{
    answer_.authority_age_ms = 60'000;
    entry_client_.send_report();
    unreachable_addresses_ = {"e1", "e2", "e3", "seed"};
    clock_.advance(4s);
    entry_client_.send_report();
    EXPECT_EQ(entry_client_.silence(), 4s);
    EXPECT_EQ(entry_client_.authority_age(), 64s);
}

// Guards against stopping all tasks because the answering entry started during
// an outage and never had contact with the table or the decider.
TEST_F(entry_client_test, starting_entry_does_not_raise_authority_age)
{
    answer_.authority_age_ms = 1'000;
    entry_client_.send_report();
    clock_.advance(2s);
    answer_.authority_age_ms = 86'400'000;
    entry_client_.send_report();
    EXPECT_EQ(entry_client_.authority_age(), 3s);
}

// Guards against a member report that is lost because one entry is down.
TEST_F(entry_client_test, member_report_goes_to_the_next_entry)
{
    entry_client_.send_report();
    unreachable_addresses_ = {"e1", "e2"};
    EXPECT_TRUE(is_ok(entry_client_.send_member_report({})));
    EXPECT_EQ(reported_addresses_.back(), "e3");
    unreachable_addresses_ = {"e1", "e2", "e3", "seed"};
    EXPECT_FALSE(is_ok(entry_client_.send_member_report({})));
}

} // namespace
} // namespace sequoiaroute::workers
