#include "workers/agent_process.hpp"

#include "support/free_address.hpp"

#include <cstdio>
#include <fstream>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;

class agent_process_test : public testing::Test
{
protected:
    agent_process_test() { std::ofstream(key_file_) << "secret\n"; }
    ~agent_process_test() override { std::remove(key_file_.c_str()); }

    std::string make_settings_text(std::string const& sections = "") const
    {
        return "[agent]\nid = x1\nkind = executor\ndata_centre = a\n"
               "rack = r\nentries = 127.0.0.1:1\npeer_address = " +
               address_ + "\n[executor]\naddress = 127.0.0.1:2\n" +
               "service = proofs\n[platform]\ntable_address = 127.0.0.1:3\n"
               "object_store_address = 127.0.0.1:4\n[keys]\nsystem_file = " +
               key_file_ + "\n" + sections;
    }

    static core::result<agent_settings> parse(std::string const& text)
    {
        SEQUOIA_TRY_INTO(
            auto const values,
            core::settings::create_from_text("agent.ini", text,
                                             agent_settings::descriptions()));
        return agent_settings::create_from(values, "agent.ini");
    }

    static std::string error_of(std::string const& text)
    {
        auto const outcome = parse(text);
        return is_ok(outcome) ? "" : failure(outcome).message;
    }

    // The process id keeps tests that run concurrently from sharing the file.
    std::string key_file_ = testing::TempDir() + "agent-process-test-" +
                            std::to_string(::getpid()) + ".key";
    std::string address_ = support::free_address();
};

TEST_F(agent_process_test, settings_have_the_documented_defaults)
{
    auto const outcome =
        parse(make_settings_text("[timing]\nreport_period = 3s\n"));
    ASSERT_TRUE(is_ok(outcome));
    auto const& settings = value(outcome);
    EXPECT_EQ(settings.entry_client.report_period, 3s);
    EXPECT_EQ(settings.supervisor.lease, 5s);
    EXPECT_EQ(settings.authority_limit, 90min);
    EXPECT_EQ(settings.unstored_result_bytes, 64'000'000U);
    EXPECT_EQ(settings.shared_key, "secret");
    EXPECT_EQ(settings.advertised_address, address_);
}

// Guards against an agent behind a port forwarder that advertises the address
// it listens on.
TEST_F(agent_process_test, advertised_address_differs_from_listen_address)
{
    auto text = make_settings_text();
    text.replace(text.find("rack"), 0, "advertised_address = 127.0.0.1:9\n");
    auto const settings = value(parse(text));
    EXPECT_EQ(settings.advertised_address, "127.0.0.1:9");
    EXPECT_EQ(settings.server.address, address_);
}

// Guards against an agent that starts with invalid settings.
TEST_F(agent_process_test, settings_errors_name_the_invalid_key)
{
    EXPECT_EQ(error_of(make_settings_text("[timing]\nrenew_period = 4s\n")),
              "agent.ini: key timing.renew_period is more than half of "
              "timing.task_lease");
    EXPECT_EQ(error_of(make_settings_text("[timing]\nping_period = 0s\n")),
              "agent.ini: key timing.ping_period is zero");
    EXPECT_EQ(error_of(make_settings_text("[log]\nlevel = loud\n")),
              "agent.ini: key log.level: \"loud\" is not a level");
    auto text = make_settings_text();
    text.replace(text.find("executor"), 8, "guard");
    EXPECT_EQ(error_of(text), "agent.ini: key agent.kind: \"guard\" is not "
                              "executor or worker");
    std::remove(key_file_.c_str());
    EXPECT_EQ(error_of(make_settings_text()),
              "agent.ini: key keys.system_file: " + key_file_ +
                  " holds no key");
}

// Guards against a process that cannot be inspected or does not end while all
// the services that it uses are down.
TEST_F(agent_process_test, dumps_its_state_and_drains_without_dependencies)
{
    auto process = agent_process::create(
        value(parse(make_settings_text("[timing]\ndrain_store_limit = 1s\n"
                                       "connect_limit = 100ms\n"))));
    ASSERT_TRUE(is_ok(process));
    core::timer_service timers;
    peers::nng_link_pool links(timers, {"operator", "i1", "secret"}, {});
    auto const dump =
        links.link_to(address_)->call(peers::message_kind::dump, nullptr, 2s);
    ASSERT_TRUE(is_ok(dump));
    auto const& body = value(dump).body;
    EXPECT_EQ(body.at("agent").at("target_id"), "x1");
    EXPECT_GT(body.at("process").at("threads"), 1);
    EXPECT_EQ(body.dump().find("secret"), std::string::npos);
    value(process)->drain();
}

TEST_F(agent_process_test, reports_an_address_that_is_in_use)
{
    auto const settings = value(parse(make_settings_text()));
    auto const first = agent_process::create(settings);
    ASSERT_TRUE(is_ok(first));
    EXPECT_EQ(code_of(agent_process::create(settings)),
              core::result_code::unreachable);
}

} // namespace
} // namespace sequoiaroute::workers
