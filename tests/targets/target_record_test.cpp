#include "targets/target_record.hpp"

#include "support/manual_clock.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::targets {
namespace {

using core::duration;

constexpr duration suspect_after{15'000};

peers::target_report report(std::string const& incarnation,
                            std::uint64_t sequence)
{
    peers::target_report report;
    report.target_id = "w1";
    report.incarnation = incarnation;
    report.sequence = sequence;
    return report;
}

class target_record_test : public testing::Test
{
protected:
    known_target view() const
    {
        return record_.view(clock_.now(), suspect_after);
    }

    support::manual_clock clock_;
    target_record record_;
};

TEST_F(target_record_test, silence_and_failure_make_target_suspect)
{
    record_.apply_report(report("x", 1), clock_.now());
    clock_.advance(suspect_after);
    EXPECT_FALSE(view().is_suspect);
    clock_.advance(duration(1));
    EXPECT_TRUE(view().is_suspect);
    record_.record_contact(clock_.now());
    EXPECT_FALSE(view().is_suspect);
    record_.record_failure(clock_.now());
    EXPECT_TRUE(view().is_suspect);
}

// Guards against clearing the suspicion by an update from before the failure.
TEST_F(target_record_test, failure_is_cleared_only_by_later_contact)
{
    record_.apply_report(report("x", 1), clock_.now());
    auto const before = clock_.now() + duration(1);
    clock_.advance(duration(10));
    record_.record_failure(clock_.now());
    record_.apply_update({report("x", 2), 0, {}}, before);
    EXPECT_TRUE(view().is_suspect);
    clock_.advance(duration(10));
    record_.apply_update({report("x", 3), 0, {}}, clock_.now());
    EXPECT_FALSE(view().is_suspect);
}

// Guards against a delayed report that restores old slots or clears
// is_leaving.
TEST_F(target_record_test, report_with_older_sequence_is_ignored)
{
    auto leaving = report("x", 5);
    leaving.is_leaving = true;
    record_.apply_report(leaving, clock_.now());
    record_.apply_report(report("x", 4), clock_.now());
    record_.apply_update({report("x", 3), 0, {}}, clock_.now());
    EXPECT_TRUE(view().report.is_leaving);
    EXPECT_EQ(view().report.sequence, 5U);
}

// Guards against replacing the current incarnation by an update about an
// earlier one.
TEST_F(target_record_test, superseded_incarnation_never_becomes_current)
{
    record_.apply_report(report("x", 9), clock_.now());
    EXPECT_TRUE(record_.apply_report(report("y", 1), clock_.now()));
    clock_.advance(duration(1000));
    record_.apply_update({report("x", 10), 0, {}}, clock_.now());
    EXPECT_EQ(view().report.incarnation, "y");
    EXPECT_FALSE(record_.apply_report(report("x", 11), clock_.now()));
    EXPECT_TRUE(record_.is_superseded("x"));
}

TEST_F(target_record_test, delta_supersedes_the_current_incarnation)
{
    record_.apply_report(report("x", 9), clock_.now());
    record_.apply_update({report("y", 1), 0, {"x"}}, clock_.now());
    EXPECT_EQ(view().report.incarnation, "y");
    EXPECT_TRUE(record_.is_superseded("x"));
}

// Guards against superseding a running incarnation when two entries have each
// been in contact with a different one.
TEST_F(target_record_test, unordered_incarnations_are_not_superseded)
{
    record_.apply_report(report("x", 1), clock_.now());
    auto const contact_with_x = clock_.now();
    clock_.advance(duration(500));
    record_.apply_update({report("y", 1), 0, {}}, clock_.now());
    EXPECT_EQ(view().report.incarnation, "y");
    EXPECT_FALSE(record_.is_superseded("x"));
    EXPECT_EQ(record_.last_contact("x"), contact_with_x);
}

} // namespace
} // namespace sequoiaroute::targets
