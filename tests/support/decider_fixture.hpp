#pragma once

#include "support/decider_environment.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::support {

/// An environment with one entry, which becomes the decider.
struct decider_fixture : testing::Test
{
    /// Submits a job and notifies the decider.
    void submit(std::string const& id, int members = 1,
                bool is_unrepeatable = false)
    {
        auto submission = environment.submission(id, members);
        submission.is_unrepeatable = is_unrepeatable;
        ASSERT_TRUE(core::is_ok(environment.jobs().submit(submission)));
        entry.loop().handle_change(id);
    }
    /// Makes tasks run until they are stopped.
    void keep_tasks_running()
    {
        for (auto& [id, agent] : environment.agents.agents)
            agent.finishes = false;
    }
    /// Expects that a job has finished, that no member remains, and that no two
    /// attempts of a job ever ran at once.
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
