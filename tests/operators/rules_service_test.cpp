#include "operators/rules_service.hpp"

#include "support/fake_links.hpp"
#include "support/fake_table.hpp"
#include "support/manual_clock.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <utility>

namespace sequoiaroute::operators {
namespace {

using core::result_code;
using support::fake_table;

std::string text_with_priority(int priority)
{
    return "customer press priority=" + std::to_string(priority) +
           " # asked for by Ida Toth\n";
}

/// Runs the rules services of several entries, with their ids as addresses.
class rules_service_test : public testing::Test
{
protected:
    std::unique_ptr<rules_service> start_entry(std::string const& id)
    {
        rules_peers peers{[this, id] { return other_entries(id); },
                          [this, id] {
                              std::vector<std::string> addresses;
                              for (auto const& entry : other_entries(id))
                                  addresses.push_back(entry.peer_address);
                              return addresses;
                          },
                          [this] { return agents_; }};
        auto service = std::make_unique<rules_service>(
            table_, links_, clock_, std::move(peers), guarantee_check_,
            rules_service_options{id, "incarnation-" + id, core::duration(8000),
                                  core::duration(1000), core::duration(1),
                                  core::duration(50)});
        ids_.push_back(id);
        links_.set_handler(id, [&service = *service](auto const& request) {
            return service.handle(request);
        });
        return service;
    }

    /// @return the service of an entry that knows no other process
    std::unique_ptr<rules_service> make_isolated_service(platform::table& table)
    {
        return std::make_unique<rules_service>(
            table, links_, clock_,
            rules_peers{[] { return std::vector<peers::entry_record>(); },
                        [] { return std::vector<std::string>(); },
                        [] { return std::vector<std::string>(); }},
            nullptr,
            rules_service_options{"c", "c", core::duration(8000),
                                  core::duration(1000), core::duration(1),
                                  core::duration(50)});
    }

    std::vector<peers::entry_record> other_entries(std::string const& id) const
    {
        std::vector<peers::entry_record> entries;
        for (auto const& other : ids_) {
            if (other != id)
                entries.push_back({other, {}, other, {}, {}});
        }
        return entries;
    }

    /// Adds an agent that answers `rules` with a copy of the rules of an entry.
    void start_keeper_agent(std::string const& id, rules_service const& source)
    {
        agents_.push_back(id);
        links_.set_handler(
            id, [document = source.rules_document(),
                 generation = source.rules_generation()](auto const&) {
                return peers::answer_envelope{
                    0, {}, {}, rules_message{generation, {}, document}};
            });
    }

    fake_table table_;
    support::fake_links links_;
    support::manual_clock clock_;
    guarantee_check const* guarantee_check_ = nullptr;
    std::vector<std::string> ids_;
    std::vector<std::string> agents_;
};

TEST_F(rules_service_test, refuses_work_without_rules)
{
    auto const a = start_entry("a");
    a->refresh();
    EXPECT_EQ(core::code_of(a->admission_state()), result_code::not_ready);
}

TEST_F(rules_service_test, apply_reaches_all_entries)
{
    auto const a = start_entry("a");
    auto const b = start_entry("b");
    auto const outcome = a->apply("ida", 0, text_with_priority(1));
    ASSERT_TRUE(core::is_ok(outcome)) << core::failure(outcome).message;
    EXPECT_EQ(core::value(outcome).generation, 1U);
    EXPECT_EQ(core::value(outcome).confirmed,
              (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(b->rules()->customers.at("press").priority, 1);
    EXPECT_EQ(b->current().author, "ida");
    EXPECT_TRUE(core::is_ok(a->admission_state()));
}

TEST_F(rules_service_test, apply_names_entries_that_did_not_confirm)
{
    auto const a = start_entry("a");
    auto const b = start_entry("b");
    links_.remove_handler("b");
    auto const outcome = a->apply("ida", 0, text_with_priority(1));
    ASSERT_TRUE(core::is_ok(outcome));
    EXPECT_EQ(core::value(outcome).unconfirmed, std::vector<std::string>{"b"});
    b->refresh();
    EXPECT_EQ(b->rules_generation(), 1U);
}

// Guards against an edit overwriting another one made from the same generation.
TEST_F(rules_service_test, conflicting_edit_reports_the_changed_lines)
{
    auto const a = start_entry("a");
    auto const b = start_entry("b");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    ASSERT_TRUE(core::is_ok(a->apply("ida", 1, text_with_priority(2))));
    auto const outcome = b->apply("dana", 1, text_with_priority(3));
    ASSERT_EQ(core::code_of(outcome), result_code::rules_conflict);
    EXPECT_THAT(core::failure(outcome).message,
                testing::HasSubstr("+ 1: customer press priority=2"));
    EXPECT_EQ(a->rules()->customers.at("press").priority, 2);
}

// Guards against overwriting an edit that is stored after the current
// generation was read.
TEST_F(rules_service_test, concurrent_write_is_refused_by_the_table)
{
    auto const a = start_entry("a");
    auto const b = start_entry("b");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    table_.freeze_reads();
    links_.remove_handler("b");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 1, text_with_priority(2))));
    auto const outcome = b->apply("dana", 1, text_with_priority(3));
    EXPECT_EQ(core::code_of(outcome), result_code::rules_conflict);
    table_.thaw_reads();
    b->refresh();
    EXPECT_EQ(b->rules()->customers.at("press").priority, 2);
}

// Guards against reporting an apply that took effect as failed, and against
// storing it twice.
TEST_F(rules_service_test, recovers_from_the_lost_answer_of_an_apply)
{
    auto const a = start_entry("a");
    table_.set_commit_fault(fake_table::commit_fault::response_lost);
    auto const outcome = a->apply("ida", 0, text_with_priority(1));
    ASSERT_TRUE(core::is_ok(outcome)) << core::failure(outcome).message;
    EXPECT_EQ(core::value(outcome).generation, 1U);
    a->refresh();
    EXPECT_EQ(a->rules_generation(), 1U);
}

TEST_F(rules_service_test, retries_a_lost_request_of_an_apply)
{
    auto const a = start_entry("a");
    table_.set_commit_fault(fake_table::commit_fault::request_lost);
    EXPECT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
}

// Guards against reporting rules as not changed that may come into force, and
// against a retried apply that conflicts with itself.
TEST_F(rules_service_test, unresolved_apply_is_unknown_and_can_be_retried)
{
    auto const a = start_entry("a");
    class outage_after_commit final : public platform::table
    {
    public:
        explicit outage_after_commit(fake_table& table) : table_(table) {}
        core::result<platform::row> read(std::string_view key) override
        {
            return table_.read(key);
        }
        core::result<std::vector<platform::row>>
        scan(std::string_view prefix) override
        {
            return table_.scan(prefix);
        }
        core::status
        commit(std::span<platform::row_condition const> conditions,
               std::span<platform::row_write const> writes) override
        {
            auto status = table_.commit(conditions, writes);
            table_.set_available(false);
            return status;
        }

    private:
        fake_table& table_;
    } table(table_);
    auto const service = make_isolated_service(table);
    table_.set_commit_fault(fake_table::commit_fault::response_lost);
    EXPECT_EQ(core::code_of(service->apply("ida", 0, text_with_priority(1))),
              result_code::write_unknown);
    EXPECT_EQ(service->rules_generation(), 0U);
    table_.set_available(true);
    auto const repeated = a->apply("ida", 0, text_with_priority(1));
    ASSERT_TRUE(core::is_ok(repeated));
    EXPECT_EQ(core::value(repeated).generation, 1U);
}

/// A table that calls a function once, after the next read.
class interrupted_table final : public platform::table
{
public:
    explicit interrupted_table(platform::table& table) : table_(table) {}

    core::result<platform::row> read(std::string_view key) override
    {
        auto row = table_.read(key);
        auto const hook = std::exchange(after_read, [] {});
        hook();
        return row;
    }
    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        return table_.scan(prefix);
    }
    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        return table_.commit(conditions, writes);
    }

    std::function<void()> after_read = [] {};

private:
    platform::table& table_;
};

// Two entries apply rules at the same time, and the rules of one reach the
// other after it has read the row. Guards against an editor who is told that
// the table is unavailable instead of what has changed.
TEST_F(rules_service_test, apply_conflicts_with_rules_pushed_after_its_read)
{
    auto const a = start_entry("a");
    interrupted_table table(table_);
    auto const service = make_isolated_service(table);
    table.after_read = [&] {
        ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
        rules_message const pushed{1, "ida", a->rules_document()};
        service->handle({"rules", "a", "a", {}, pushed});
    };
    EXPECT_EQ(core::code_of(service->apply("ben", 0, text_with_priority(2))),
              result_code::rules_conflict);
    EXPECT_EQ(service->rules_generation(), 1U);
}

TEST_F(rules_service_test, apply_during_an_outage_changes_nothing)
{
    auto const a = start_entry("a");
    table_.set_available(false);
    EXPECT_EQ(core::code_of(a->apply("ida", 0, text_with_priority(1))),
              result_code::not_run_store_unavailable);
    EXPECT_EQ(a->rules_generation(), 0U);
}

// Guards against a lagging replica of the table reverting accepted rules, and
// against its answer confirming older rules.
TEST_F(rules_service_test, older_read_neither_reverts_nor_confirms)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    table_.freeze_reads();
    ASSERT_TRUE(core::is_ok(a->apply("ida", 1, text_with_priority(2))));
    clock_.advance(core::duration(8001));
    a->refresh();
    EXPECT_EQ(a->rules_generation(), 2U);
    EXPECT_EQ(core::code_of(a->admission_state()),
              result_code::rules_unconfirmed);
    table_.thaw_reads();
    a->refresh();
    EXPECT_TRUE(core::is_ok(a->admission_state()));
}

// Guards against admitting work under rules that may have been replaced while
// the entry was out of contact.
TEST_F(rules_service_test, unconfirmed_rules_refuse_work_after_the_limit)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    table_.set_available(false);
    clock_.advance(core::duration(8000));
    a->refresh();
    EXPECT_TRUE(core::is_ok(a->admission_state()));
    clock_.advance(core::duration(1));
    EXPECT_EQ(core::code_of(a->admission_state()),
              result_code::rules_unconfirmed);
    auto const requested_at = clock_.now();
    a->record_peer_answer(1, "b", requested_at);
    EXPECT_TRUE(core::is_ok(a->admission_state()));
}

// Guards against dating a confirmation from the time at which the answer is
// read, which is late if the process was frozen.
TEST_F(rules_service_test, confirmation_dates_from_its_request)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    auto const requested_at = clock_.now();
    clock_.advance(core::duration(60'000));
    a->record_peer_answer(1, "b", requested_at);
    EXPECT_EQ(core::code_of(a->admission_state()),
              result_code::rules_unconfirmed);
}

TEST_F(rules_service_test, peer_with_older_rules_does_not_confirm)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    clock_.advance(core::duration(9000));
    a->record_peer_answer(0, "b", clock_.now());
    EXPECT_EQ(core::code_of(a->admission_state()),
              result_code::rules_unconfirmed);
}

TEST_F(rules_service_test, loads_rules_from_a_peer_during_an_outage)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    table_.set_available(false);
    auto const b = start_entry("b");
    b->refresh();
    EXPECT_EQ(b->rules_generation(), 1U);
    b->record_peer_answer(1, "a", clock_.now());
    EXPECT_TRUE(core::is_ok(b->admission_state()));
}

// Guards against losing the rules if all entries are lost during an outage of
// the table.
TEST_F(rules_service_test, loads_rules_from_a_keeper_agent_without_a_peer)
{
    auto a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    start_keeper_agent("agent-1", *a);
    links_.remove_handler("a");
    table_.set_available(false);
    auto const b = start_entry("b");
    b->refresh();
    EXPECT_EQ(b->rules_generation(), 1U);
}

// Guards against an entry that starts with an older copy than the generation
// that agents have seen.
TEST_F(rules_service_test, refuses_work_below_a_reported_generation)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    table_.set_available(false);
    a->record_generation(2, "agent-7");
    EXPECT_EQ(core::code_of(a->admission_state()),
              result_code::rules_unconfirmed);
    a->refresh();
    a->record_peer_answer(1, "b", clock_.now());
    EXPECT_EQ(core::code_of(a->admission_state()),
              result_code::rules_unconfirmed);
}

TEST_F(rules_service_test, fetches_a_reported_generation_at_once)
{
    auto const a = start_entry("a");
    auto const b = start_entry("b");
    links_.remove_handler("b");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    b->record_peer_answer(1, "a", clock_.now());
    EXPECT_EQ(b->rules_generation(), 1U);
    EXPECT_TRUE(core::is_ok(b->admission_state()));
}

// Guards against a delayed push reverting to older rules.
TEST_F(rules_service_test, lower_generation_is_never_installed)
{
    auto const a = start_entry("a");
    ASSERT_TRUE(core::is_ok(a->apply("ida", 0, text_with_priority(1))));
    rules_message const late{1, "ida", a->rules_document()};
    ASSERT_TRUE(core::is_ok(a->apply("ida", 1, text_with_priority(2))));
    auto const answer = a->handle({"rules", "b", "b", {}, late});
    EXPECT_EQ(answer.code, 0);
    EXPECT_EQ(a->rules()->customers.at("press").priority, 2);
    EXPECT_EQ(answer.body.at("generation"), 2);
}

TEST_F(rules_service_test, corrupt_copy_is_not_installed)
{
    auto const a = start_entry("a");
    rules_message const damaged{3, "ida", "{\"generation\":3"};
    a->handle({"rules", "b", "b", {}, damaged});
    EXPECT_EQ(a->rules_generation(), 0U);
}

class rejecting_check final : public guarantee_check
{
public:
    core::status check(policy::rule_set const&) const override
    {
        return core::error{result_code::guarantees_do_not_fit, "too many"};
    }
};

TEST_F(rules_service_test, guarantees_that_do_not_fit_are_not_applied)
{
    rejecting_check const check;
    guarantee_check_ = &check;
    auto const a = start_entry("a");
    EXPECT_EQ(core::code_of(a->apply("ida", 0, text_with_priority(1))),
              result_code::guarantees_do_not_fit);
    a->refresh();
    EXPECT_EQ(a->rules_generation(), 0U);
}

TEST_F(rules_service_test, table_age_is_large_before_the_first_read)
{
    table_.set_available(false);
    auto const a = start_entry("a");
    a->refresh();
    EXPECT_GT(a->table_age(), std::chrono::minutes(90));
    table_.set_available(true);
    a->refresh();
    clock_.advance(core::duration(700));
    EXPECT_EQ(a->table_age(), core::duration(700));
}

} // namespace
} // namespace sequoiaroute::operators
