#include "targets/membership.hpp"

#include "support/fake_links.hpp"
#include "support/fake_table.hpp"
#include "support/manual_clock.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>

namespace sequoiaroute::targets {
namespace {

using core::duration;

class fake_rules final : public rules_exchange
{
public:
    std::uint64_t rules_generation() const override { return 7; }
    std::string rules_document() const override { return "{}"; }
    duration table_age() const override { return duration(0); }
    void record_generation(std::uint64_t generation, std::string_view) override
    {
        highest_generation = std::max(highest_generation, generation);
    }
    void record_peer_answer(std::uint64_t generation, std::string_view,
                            core::time_point) override
    {
        highest_generation = std::max(highest_generation, generation);
    }

    std::uint64_t highest_generation = 0;
};

/// Entries a, b and c over one table. Their peer addresses are their ids.
class membership_test : public testing::Test
{
protected:
    std::unique_ptr<membership> start(std::string const& id,
                                      std::vector<std::string> static_peers,
                                      std::string const& incarnation = "1")
    {
        membership_options options;
        options.self = {id, incarnation, id, id + "-http", "dc"};
        options.static_peers = std::move(static_peers);
        auto entry = std::make_unique<membership>(table_, links_, clock_,
                                                  std::move(options));
        entry->set_rules(rules_);
        connect(id, *entry);
        return entry;
    }

    void connect(std::string const& id, membership& entry)
    {
        links_.set_handler(
            id, [&entry](auto const& call) { return entry.handle_sync(call); });
    }

    peers::answer_envelope report(membership& entry, std::string const& id,
                                  std::uint64_t sequence,
                                  std::string const& incarnation = "x",
                                  bool is_leaving = false)
    {
        peers::target_report report;
        report.target_id = id;
        report.incarnation = incarnation;
        report.kind = peers::target_kind::worker;
        report.sequence = sequence;
        report.is_leaving = is_leaving;
        report.address = "agent-" + id;
        report.rules_generation = 3;
        return entry.handle_report({"report", id, incarnation, {}, report});
    }

    static peers::report_answer answer_of(peers::answer_envelope const& answer)
    {
        return answer.body.get<peers::report_answer>();
    }

    /// Advances the clock in steps of 1 s. The entries sync at each step and
    /// renew their rows every 5 s.
    void run(std::vector<membership*> const& entries, duration time)
    {
        constexpr duration step{1000};
        for (int i = 0; i < time / step; ++i) {
            clock_.advance(step);
            for (auto* const entry : entries) {
                entry->sync();
                if (i % 5 == 0)
                    entry->renew();
            }
        }
    }

    support::fake_table table_;
    support::fake_links links_;
    support::manual_clock clock_;
    fake_rules rules_;
};

std::vector<known_target> workers(membership const& entry)
{
    return entry.targets(peers::target_kind::worker);
}

TEST_F(membership_test, report_reaches_the_other_entry_with_its_age)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {});
    report(*a, "w1", 1);
    clock_.advance(duration(400));
    a->sync();
    ASSERT_EQ(workers(*b).size(), 1U);
    EXPECT_EQ(workers(*b)[0].age, duration(400));
    EXPECT_FALSE(workers(*b)[0].is_suspect);
    clock_.advance(duration(15'000));
    EXPECT_TRUE(workers(*b)[0].is_suspect);
}

// Guards against new work for a leaving target from an entry to which it does
// not report.
TEST_F(membership_test, leaving_state_reaches_the_other_entry)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {});
    report(*a, "w1", 1);
    a->sync();
    report(*a, "w1", 2, "x", true);
    a->sync();
    EXPECT_TRUE(workers(*b)[0].report.is_leaving);
}

// Guards against losing the updates of a failed sync call.
TEST_F(membership_test, updates_of_a_failed_sync_are_sent_again)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {});
    a->sync();
    links_.remove_handler("b");
    report(*a, "w1", 1);
    a->sync();
    clock_.advance(duration(3000));
    connect("b", *b);
    a->sync();
    ASSERT_EQ(workers(*b).size(), 1U);
    EXPECT_EQ(workers(*b)[0].age, duration(3000));
}

TEST_F(membership_test, new_entry_receives_all_targets)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {});
    report(*a, "w1", 1);
    a->sync();
    auto const c = start("c", {"b"});
    c->sync();
    EXPECT_EQ(workers(*c).size(), 1U);
}

TEST_F(membership_test, report_answer_lists_live_entries_and_the_term)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {});
    b->record_term(4);
    a->sync();
    auto const answer = answer_of(report(*a, "w1", 1));
    EXPECT_EQ(answer.entries.size(), 2U);
    EXPECT_EQ(answer.term, 4U);
    EXPECT_EQ(answer.rules_generation, 7U);
    EXPECT_EQ(rules_.highest_generation, 7U);
    clock_.advance(duration(15'001));
    EXPECT_EQ(answer_of(report(*a, "w1", 2)).entries.size(), 1U);
}

TEST_F(membership_test, delayed_report_of_an_older_incarnation_is_refused)
{
    auto const a = start("a", {});
    report(*a, "w1", 1, "x");
    report(*a, "w1", 1, "y");
    EXPECT_EQ(report(*a, "w1", 2, "x").code,
              static_cast<std::uint16_t>(core::result_code::conflict));
}

TEST_F(membership_test, three_keepers_receive_the_rules_once)
{
    auto const a = start("a", {});
    for (int i = 0; i < 10; ++i)
        report(*a, "w" + std::to_string(i), 1);
    a->sync();
    for (std::uint64_t const sequence : {2, 3}) {
        int copies = 0;
        for (int i = 0; i < 10; ++i) {
            auto const id = "w" + std::to_string(i);
            copies += answer_of(report(*a, id, sequence)).rules.empty() ? 0 : 1;
        }
        EXPECT_EQ(copies, sequence == 2 ? 3 : 0);
    }
    // The copies are sent again after a minute, in case an answer was lost.
    clock_.advance(duration(60'000));
    int copies = 0;
    for (int i = 0; i < 10; ++i) {
        auto const id = "w" + std::to_string(i);
        copies += answer_of(report(*a, id, 4)).rules.empty() ? 0 : 1;
    }
    EXPECT_EQ(copies, 3);
}

// Guards against losing the live entries during an outage of the table.
TEST_F(membership_test, table_outage_keeps_entries_that_sync)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {"a"});
    run({a.get(), b.get()}, duration(10'000));
    table_.set_available(false);
    run({a.get(), b.get()}, duration(120'000));
    ASSERT_EQ(a->peer_entries().size(), 1U);
    EXPECT_EQ(a->peer_entries()[0].entry_id, "b");
    EXPECT_GT(a->authority_age(), duration(110'000));
}

// Guards against a network partition between entries: an entry that still
// renews its row must stay listed, because agents may reach it.
TEST_F(membership_test, entry_that_renews_its_row_is_live)
{
    auto const a = start("a", {});
    auto const b = start("b", {});
    links_.remove_handler("a");
    links_.remove_handler("b");
    run({a.get(), b.get()}, duration(40'000));
    EXPECT_EQ(a->peer_entries().size(), 1U);
}

TEST_F(membership_test, entry_that_left_is_removed)
{
    auto const a = start("a", {});
    auto const b = start("b", {});
    run({a.get(), b.get()}, duration(10'000));
    b->leave();
    links_.remove_handler("b");
    run({a.get()}, duration(31'000));
    EXPECT_TRUE(a->entry_addresses().empty());
}

// Guards against a paused entry process that resumes while its replacement
// runs.
TEST_F(membership_test, replaced_entry_is_detected_on_renewal)
{
    auto const old = start("a", {}, "1");
    old->renew();
    auto const replacement = start("a", {}, "2");
    replacement->renew();
    old->renew();
    EXPECT_TRUE(old->is_replaced());
    EXPECT_FALSE(replacement->is_replaced());
}

TEST_F(membership_test, superseded_worker_incarnation_is_lost)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {});
    report(*a, "w1", 1, "x");
    a->sync();
    report(*a, "w1", 1, "y");
    EXPECT_FALSE(b->is_lost("w1", "x"));
    a->sync();
    EXPECT_TRUE(b->is_lost("w1", "x"));
    EXPECT_FALSE(b->is_lost("w1", "y"));
}

TEST_F(membership_test,
       worker_is_lost_after_30_s_without_contact_at_all_entries)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {"a"});
    run({a.get(), b.get()}, duration(40'000));
    report(*b, "w1", 1);
    run({a.get(), b.get()}, duration(29'000));
    EXPECT_FALSE(a->is_lost("w1", "x"));
    run({a.get(), b.get()}, duration(2000));
    EXPECT_TRUE(a->is_lost("w1", "x"));
}

// Guards against replacing an attempt whose agent still reports to an entry on
// the other side of a network partition.
TEST_F(membership_test, worker_is_not_lost_while_an_entry_is_out_of_contact)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {"a"});
    run({a.get(), b.get()}, duration(40'000));
    report(*b, "w1", 1);
    links_.remove_handler("a");
    links_.remove_handler("b");
    run({a.get()}, std::chrono::minutes(89));
    EXPECT_FALSE(a->is_lost("w1", "x"));
    run({a.get()}, std::chrono::minutes(4));
    EXPECT_TRUE(a->is_lost("w1", "x"));
}

// Guards against declaring a worker lost without contact (condition d) while an
// unreachable entry is in contact with the table, so that its agents keep their
// tasks running.
TEST_F(membership_test, worker_is_not_lost_while_a_silent_entry_renews_its_row)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {"a"});
    run({a.get(), b.get()}, duration(40'000));
    report(*b, "w1", 1);
    links_.remove_handler("a");
    links_.remove_handler("b");
    run({a.get(), b.get()}, std::chrono::minutes(100));
    EXPECT_FALSE(a->is_lost("w1", "x"));
}

// Guards against declaring a worker lost right after a start, when the entry
// cannot know of contacts from before it.
TEST_F(membership_test, new_entry_waits_before_declaring_a_worker_lost)
{
    auto const a = start("a", {});
    run({a.get()}, duration(29'000));
    EXPECT_FALSE(a->is_lost("w1", "x"));
    run({a.get()}, duration(2000));
    EXPECT_TRUE(a->is_lost("w1", "x"));
}

// Guards against declaring a worker lost whose latest contacts were recorded
// only by the earlier incarnation of a restarted entry.
TEST_F(membership_test, restart_of_an_entry_restarts_the_lost_timeout)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {"a"});
    run({a.get(), b.get()}, duration(40'000));
    report(*b, "w1", 1);
    run({a.get(), b.get()}, duration(25'000));
    auto const restarted = start("b", {"a"}, "2");
    run({a.get(), restarted.get()}, duration(20'000));
    EXPECT_FALSE(a->is_lost("w1", "x"));
    run({a.get(), restarted.get()}, duration(12'000));
    EXPECT_TRUE(a->is_lost("w1", "x"));
}

// Guards against declaring a worker lost without access to the table, when
// there may be unknown entries.
TEST_F(membership_test, no_worker_is_lost_without_the_table)
{
    auto const a = start("a", {});
    run({a.get()}, duration(5000));
    table_.set_available(false);
    run({a.get()}, std::chrono::minutes(100));
    EXPECT_FALSE(a->is_lost("w1", "x"));
}

TEST_F(membership_test, contact_with_the_decider_resets_the_authority_age)
{
    auto const a = start("a", {"b"});
    auto const b = start("b", {"a"});
    core::json const lease{
        {"value",
         {{"holder", "b"}, {"address", "b"}, {"term", 2}, {"renewals", 1}}},
        {"writers", core::json::array()}};
    std::array const writes{platform::row_write{"decider", lease}};
    ASSERT_TRUE(core::is_ok(table_.commit({}, writes)));
    run({a.get(), b.get()}, duration(10'000));
    EXPECT_EQ(a->term(), 2U);
    table_.set_available(false);
    run({a.get(), b.get()}, duration(60'000));
    EXPECT_LT(a->authority_age(), duration(2000));
    EXPECT_GT(b->authority_age(), duration(59'000));
}

TEST_F(membership_test, new_entry_has_a_high_authority_age)
{
    auto const a = start("a", {});
    EXPECT_GT(a->authority_age(), std::chrono::minutes(90));
}

} // namespace
} // namespace sequoiaroute::targets
