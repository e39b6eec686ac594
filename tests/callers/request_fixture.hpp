#pragma once

#include "callers/request_service.hpp"
#include "support/manual_clock.hpp"
#include "support/request_mocks.hpp"
#include "support/unreliable_table.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::callers {

/// Provides the rules and the admission state that a test sets.
class fixed_rules final : public policy::rules_provider
{
public:
    std::shared_ptr<policy::rule_set const> rules() const override
    {
        return set;
    }
    core::status admission_state() const override { return state; }

    std::shared_ptr<policy::rule_set> set =
        std::make_shared<policy::rule_set>();
    core::status state = core::success();
};

/// An object store in memory that a test can make unavailable.
class memory_object_store final : public platform::object_store
{
public:
    core::status put(std::string_view key, std::string_view bytes) override
    {
        objects[std::string(key)] = bytes;
        return core::success();
    }
    core::result<std::string> fetch(std::string_view key) override
    {
        if (is_down)
            return support::make_error(core::result_code::store_unavailable);
        auto const found = objects.find(std::string(key));
        if (found == objects.end())
            return support::make_error(core::result_code::not_found);
        return found->second;
    }

    std::map<std::string, std::string> objects;
    bool is_down = false;
};

/// A request service of entry "one" with two executors, whose agents answer as
/// the test sets in `agent_handlers`, by message kind. Sleeping advances
/// the clock.
struct request_fixture : testing::Test
{
    using link_result = core::result<peers::answer_envelope>;
    using agent_handler =
        std::function<link_result(peers::attempt_reference const&)>;

    request_fixture()
    {
        directory.known = {support::make_executor_target("a"),
                           support::make_executor_target("b")};
        rules.set->customers["press"].customer = "press";
        agent_handlers["dispatch"] = [](auto const& reference) {
            return support::make_answer(
                support::make_finished_attempt(reference.attempt_id, "proof"));
        };
        agent_handlers["query"] = [](auto const& reference) {
            return support::make_answer(support::make_attempt_answer(
                reference.attempt_id, peers::attempt_state::unknown));
        };
        agent_handlers["fence"] = [](auto const&) {
            return support::make_error(core::result_code::timed_out);
        };
        ON_CALL(*link, call(testing::_, testing::_, testing::_))
            .WillByDefault([this](auto kind, auto const& body, auto) {
                ++call_counts[std::string(kind)];
                peers::attempt_reference reference;
                reference.attempt_id = body.value("attempt_id", "");
                reference.customer = body.value("customer", "");
                reference.request_id = body.value("request_id", "");
                return agent_handlers.at(std::string(kind))(reference);
            });
    }

    targets::sleep_function make_sleep()
    {
        return [this](core::duration duration) { clock.advance(duration); };
    }

    static request_submission make_submission(std::string id,
                                              bool is_unrepeatable = false,
                                              std::string body = "chapbook")
    {
        return {std::move(id),   "press",         "proofs",
                std::move(body), is_unrepeatable, core::duration(5000)};
    }

    core::result_code submit(request_submission const& submission)
    {
        return core::code_of(service.submit(submission).answer);
    }

    void set_claim(targets::claim_state state, std::string const& entry = "one")
    {
        targets::request_claim claim;
        claim.state = state;
        claim.attempt = 1;
        claim.entry_id = entry;
        claim.body_digest = core::digest("chapbook");
        std::array const writes{
            platform::row_write{"requests/press/r", core::json(claim)}};
        ASSERT_TRUE(core::is_ok(rows.write({}, writes)));
    }

    support::manual_clock clock;
    support::unreliable_table table;
    platform::recovering_writer rows{
        table, {"incarnation", core::duration(100), core::duration(1)}};
    memory_object_store objects;
    fixed_rules rules;
    testing::NiceMock<support::fixed_directory> directory;
    std::shared_ptr<testing::NiceMock<support::mock_link>> link =
        std::make_shared<testing::NiceMock<support::mock_link>>();
    support::single_link_pool links{link};
    std::map<std::string, agent_handler> agent_handlers;
    std::map<std::string, std::atomic<int>> call_counts;
    policy::retry_budget budget;
    targets::request_dispatcher dispatcher{
        {links, directory, clock, budget, make_sleep()}, "north"};
    targets::request_claims claims{{rows, directory, clock, make_sleep()},
                                   "one"};
    request_lookup lookup{{objects, claims, directory, links, clock}};
    request_service service{{rules, budget, directory, dispatcher, claims,
                             lookup, clock, make_sleep()}};
};

} // namespace sequoiaroute::callers
