#pragma once

#include "support/decider_world.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::support {

/// A world with one entry that becomes the decider.
struct decider_fixture : testing::Test
{
    void submit(std::string const& id, int members = 1, bool once = false)
    {
        auto submission = world.submission(id, members);
        submission.is_unrepeatable = once;
        ASSERT_TRUE(core::is_ok(world.jobs().submit(submission)));
        entry.process().handle_change(id);
    }
    void never_finish()
    {
        for (auto& [id, agent] : world.agents.agents)
            agent.finishes = false;
    }
    void expect_finished_once(std::string const& id)
    {
        EXPECT_EQ(world.record(id).state, policy::job_state::finished);
        EXPECT_EQ(world.agents.active(id), 0);
        EXPECT_EQ(world.agents.overlaps, 0);
    }

    decider_world world;
    decider_entry entry{world, "a"};
};

} // namespace sequoiaroute::support
