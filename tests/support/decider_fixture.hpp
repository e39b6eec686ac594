#pragma once

#include "support/decider_environment.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::support {

/// A environment with one entry that becomes the decider.
struct decider_fixture : testing::Test
{
    void submit(std::string const& id, int members = 1, bool once = false)
    {
        auto submission = environment.submission(id, members);
        submission.is_unrepeatable = once;
        ASSERT_TRUE(core::is_ok(environment.jobs().submit(submission)));
        entry.loop().handle_change(id);
    }
    void keep_tasks_running()
    {
        for (auto& [id, agent] : environment.agents.agents)
            agent.finishes = false;
    }
    void expect_finished_once(std::string const& id)
    {
        EXPECT_EQ(environment.record(id).state, policy::job_state::finished);
        EXPECT_EQ(environment.agents.count_active(id), 0);
        EXPECT_EQ(environment.agents.overlap_count, 0);
    }

    decider_environment environment;
    decider_entry entry{environment, "a"};
};

} // namespace sequoiaroute::support
