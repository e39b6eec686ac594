#include "fuzz/decoders.hpp"

#include "advice_client.hpp"
#include "callers/job_submission_parser.hpp"
#include "core/address.hpp"
#include "core/codec.hpp"
#include "core/settings.hpp"
#include "customer_server.hpp"
#include "executor_client.hpp"
#include "gateway/call_codec.hpp"
#include "heartbeat_server.hpp"
#include "jobs/row_codec.hpp"
#include "notices/row_notice.hpp"
#include "operator_table.hpp"
#include "operators/rule_file.hpp"
#include "operators/rules_document.hpp"
#include "peers/messages.hpp"
#include "scheduler/commit_queue.hpp"
#include "store_client.hpp"

#include <vector>

namespace sequoiaroute::fuzz {

namespace {

using core::duration;

/// Answers each call with the body that is fuzzed.
class echoing_client final : public event::http_client
{
public:
    echoing_client(int status, std::string_view body)
        : reply_{status, false, std::string(body)}
    {
    }

    void call(event::http_call, callback done) override
    {
        // A response that asks for more would be asked for again.
        if (++call_count_ < 4)
            done(reply_);
    }

private:
    event::http_call_result reply_;
    int call_count_ = 0;
};

void read_store_responses(std::string_view body)
{
    for (int const status : {200, 412}) {
        echoing_client client(status, body);
        adapter::store_client store(client, "10.0.0.1:1");
        store.commit({}, duration(1), [](auto const&) {});
        store.read({"t", "p", "", std::nullopt}, [](auto const&) {});
        store.poll_feed("t", 0, duration(1), [](auto const&) {});
        store.list_parts("t", [](auto const&) {});
    }
}

void read_executor_responses(std::string_view body)
{
    for (int const status : {200, 409}) {
        echoing_client client(status, body);
        adapter::executor_client executor(client, "10.0.0.1:1");
        executor.poll(0, std::nullopt, duration(0), [](auto const&) {});
        executor.start({}, 0, [](auto const&) {});
    }
}

void read_settings(std::string_view text)
{
    using core::setting_type;
    static std::vector<core::setting_description> const descriptions{
        {"process", "node", setting_type::text, {}, true},
        {"listen", "customers", setting_type::address, {}, false},
        {"advice", "address", setting_type::address_list, {}, false},
        {"bounds", "lease", setting_type::time, "6s", false},
    };
    (void)core::settings::create_from_text("file", text, descriptions);
}

/// Decodes a message between processes, then the bodies that it may have.
void read_peer_message(std::string_view bytes)
{
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(bytes.data()); // NOLINT
    auto const document = core::decode(std::span(data, bytes.size()));
    if (!core::is_ok(document))
        return;
    auto const& message = core::value(document);
    (void)core::message_from<peers::envelope>(message);
    (void)core::message_from<peers::answer_envelope>(message);
    (void)core::message_from<peers::target_report>(message);
    (void)core::message_from<peers::dispatch>(message);
    (void)core::message_from<peers::task_command>(message);
    (void)core::message_from<peers::sync_message>(message);
}

template <class Value>
decoder make_decoder(std::string name,
                     core::result<Value> (*decode)(std::string_view))
{
    return {std::move(name),
            [decode](std::string_view text) { (void)decode(text); }};
}

} // namespace

std::span<decoder const> decoders()
{
    static std::vector<decoder> const list{
        make_decoder("json", core::parse_json),
        make_decoder("submission", jobs::decode_submission),
        make_decoder("progress", jobs::decode_progress),
        make_decoder("report", jobs::decode_report),
        make_decoder("order", jobs::decode_order),
        make_decoder("lease", scheduler::decode_lease),
        make_decoder("notice", notices::decode_row_notice),
        make_decoder("call", gateway::decode_call),
        make_decoder("reply", gateway::decode_reply),
        make_decoder("rules", adapter::decode_rules),
        make_decoder("rules_document", operators::parse_rules_document),
        {"rule_file",
         [](auto text) { (void)operators::parse_rules("file", text); }},
        {"heartbeat",
         [](auto text) { (void)adapter::decode_heartbeat("i-1", text); }},
        {"deregistration",
         [](auto text) { (void)adapter::decode_birth(text); }},
        {"job", [](auto text) { (void)adapter::decode_job(text); }},
        {"job_submission",
         [](auto text) {
             (void)callers::job_submission_parser::parse("press", text);
         }},
        {"tickets", [](auto text) { (void)adapter::decode_tickets(text); }},
        {"address", [](auto text) { (void)core::parse_address(text); }},
        {"settings", read_settings},
        {"store", read_store_responses},
        {"executor", read_executor_responses},
        {"peer_message", read_peer_message},
    };
    return list;
}

} // namespace sequoiaroute::fuzz
