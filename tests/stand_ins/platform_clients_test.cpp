#include "http/civetweb_client.hpp"
#include "platform/http_object_store.hpp"
#include "platform/http_table.hpp"
#include "platform/http_task_runtime.hpp"
#include "platform/recovering_writer.hpp"
#include "stand_ins/object_store_stand_in.hpp"
#include "stand_ins/table_stand_in.hpp"
#include "stand_ins/task_runtime_stand_in.hpp"
#include "support/raw_socket.hpp"

#include <array>
#include <chrono>
#include <thread>

#include <gtest/gtest.h>

namespace sequoiaroute::stand_ins {
namespace {

using namespace std::chrono_literals;
using core::result_code;

/// Runs the clients of package platform against the stand-ins, over real
/// sockets. Guards against a mismatch of the wire format between the two.
class platform_clients : public testing::Test
{
protected:
    platform_clients()
    {
        table_stand_in_.serve(*server_);
        objects_stand_in_.serve(*server_);
        runtime_stand_in_.serve(*server_);
        control_.serve(*server_);
    }

    void set_faults(core::json const& faults)
    {
        http::http_request const request{
            "POST", "/control/faults", {}, {}, faults.dump()};
        auto const answer = client_.send(endpoint_.address, request, 1s);
        ASSERT_EQ(core::value(answer).status, 200);
    }

    core::status write(std::string const& key, std::uint64_t version, int value)
    {
        std::array const conditions{platform::row_condition{key, version}};
        std::array const writes{platform::row_write{key, value}};
        return writer_.write(conditions, writes);
    }

    platform::task_report first_report()
    {
        auto const tasks = core::value(runtime_.tasks());
        return tasks.empty() ? platform::task_report() : tasks.front();
    }

    platform::service_endpoint endpoint_{
        "127.0.0.1:" + std::to_string(support::free_port()), 500ms};
    control control_;
    table_stand_in table_stand_in_{control_};
    object_store_stand_in objects_stand_in_{control_};
    task_runtime_stand_in runtime_stand_in_{control_, 0};
    std::unique_ptr<http::http_server> server_ =
        start_server(endpoint_.address, 8);
    http::civetweb_client client_;
    platform::http_table table_{client_, endpoint_};
    platform::http_object_store objects_{client_, endpoint_};
    platform::http_task_runtime runtime_{client_, endpoint_};
    platform::recovering_writer writer_{table_, {"own", 2s, 5ms}};
};

TEST_F(platform_clients, rows_are_written_and_read)
{
    EXPECT_TRUE(core::is_ok(write("jobs/a b&c", 0, 1)));
    auto const stored = core::value(writer_.read("jobs/a b&c"));
    EXPECT_EQ(stored.value, 1);
    EXPECT_EQ(core::code_of(write("jobs/a b&c", 0, 2)), result_code::conflict);
    EXPECT_TRUE(core::is_ok(write("jobs/a b&c", stored.version, 2)));
    EXPECT_TRUE(core::is_ok(write("other", 0, 3)));
    EXPECT_EQ(core::value(writer_.scan("jobs/")).size(), 1);
    EXPECT_EQ(core::value(writer_.read("absent")).version, 0);
}

TEST_F(platform_clients, lost_answers_are_recovered)
{
    set_faults({{"table", {{"lose_answers", 1}}}});
    EXPECT_TRUE(core::is_ok(write("row", 0, 1)));
    set_faults({{"table", {{"drop_before", 1}}}});
    EXPECT_TRUE(core::is_ok(write("second", 0, 1)));
    // The stale read after the lost answer shows the row as still absent.
    set_faults({{"table", {{"lose_answers", 1}, {"stale_reads", 1}}}});
    EXPECT_TRUE(core::is_ok(write("third", 0, 1)));
    EXPECT_EQ(control_.event_journal().entries().size(), 3);
}

TEST_F(platform_clients, an_outage_is_reported_as_not_written)
{
    set_faults({{"table", {{"down", true}}}, {"objects", {{"down", true}}}});
    EXPECT_EQ(core::code_of(write("row", 0, 1)),
              result_code::store_unavailable);
    EXPECT_EQ(core::code_of(table_.read("row")),
              result_code::store_unavailable);
    EXPECT_EQ(core::code_of(objects_.put("key", "bytes")),
              result_code::store_unavailable);
    EXPECT_TRUE(control_.event_journal().entries().empty());
}

TEST_F(platform_clients, objects_are_stored_and_fetched)
{
    std::string const bytes("a\0b", 3);
    EXPECT_TRUE(core::is_ok(objects_.put("results/jobs/1", bytes)));
    EXPECT_EQ(core::value(objects_.fetch("results/jobs/1")), bytes);
    EXPECT_EQ(core::code_of(objects_.fetch("none")), result_code::not_found);
    set_faults({{"objects", {{"lose_answers", 1}}}});
    EXPECT_EQ(core::code_of(objects_.put("results/jobs/2", bytes)),
              result_code::write_unknown);
    EXPECT_EQ(core::value(objects_.fetch("results/jobs/2")), bytes);
}

TEST_F(platform_clients, tasks_are_controlled)
{
    platform::task_specification task{
        "j.1.0", "press", {1, 2, 3}, "run_ms=60000", "", "", 400ms};
    EXPECT_TRUE(core::is_ok(runtime_.start(task)));
    EXPECT_EQ(first_report().state, platform::task_state::running);
    EXPECT_TRUE(core::is_ok(runtime_.renew("j.1.0", 60s)));
    EXPECT_TRUE(core::is_ok(runtime_.throttle("j.1.0", 50)));
    EXPECT_TRUE(core::is_ok(runtime_.checkpoint("j.1.0")));
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(first_report().state, platform::task_state::running);
    EXPECT_TRUE(first_report().checkpoint.starts_with("j.1.0@"));
    EXPECT_TRUE(core::is_ok(runtime_.stop("j.1.0")));
    EXPECT_EQ(first_report().state, platform::task_state::stopped);
    EXPECT_TRUE(core::is_ok(runtime_.start(task)));
    EXPECT_EQ(first_report().state, platform::task_state::stopped);
    EXPECT_EQ(core::code_of(runtime_.renew("none", 1s)),
              result_code::not_found);
}

} // namespace
} // namespace sequoiaroute::stand_ins
