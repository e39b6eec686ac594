#include "gateway/call_codec.hpp"

#include "core/codec.hpp"
#include "jobs/row_codec.hpp"

namespace sequoiaroute::gateway {

using core::json;

namespace {

/// @param last the last value of the enumeration, whose values count from 0
/// @throws core::invalid_document if the number is no value of it
template <class Enum>
Enum to_enum(json const& document, Enum last)
{
    auto const number = document.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw core::invalid_document("a number is no value of its type");
    return static_cast<Enum>(number);
}

} // namespace

std::string encode(customer_call const& call)
{
    json document{{"kind", static_cast<int>(call.kind)},
                  {"host", call.host},
                  {"path", call.path},
                  {"key", call.key},
                  {"time_limit_ms", call.time_limit.count()},
                  {"body_bytes", call.body_bytes}};
    if (call.spec) {
        jobs::submission submission;
        submission.spec = *call.spec;
        document["job"] = jobs::encode(submission);
    }
    if (call.rules_version > 0)
        document["rules_version"] = call.rules_version;
    if (call.expires_at > core::duration(0))
        document["expires_at_ms"] = call.expires_at.count();
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::result<customer_call> decode_call(std::string_view text)
{
    return core::decode_json<customer_call>(text, [](json const& document) {
        customer_call call;
        call.kind = to_enum(document.at("kind"), call_kind::cancel);
        call.host = document.at("host");
        call.path = document.at("path");
        call.key = document.at("key");
        call.time_limit = core::to_duration(document.at("time_limit_ms"));
        call.body_bytes = document.at("body_bytes");
        call.rules_version =
            core::field_or(document, "rules_version", std::uint64_t{0});
        call.expires_at = core::duration_field(document, "expires_at_ms");
        if (auto const job = document.find("job"); job != document.end()) {
            auto submission = jobs::decode_submission(job->get<std::string>());
            if (core::is_ok(submission))
                call.spec = core::value(std::move(submission)).spec;
        }
        return call;
    });
}

std::string encode(customer_reply const& reply)
{
    return json{{"outcome", static_cast<int>(reply.outcome)},
                {"state", static_cast<int>(reply.state)},
                {"pending", reply.pending},
                {"retry_after_ms", reply.retry_after.count()}}
        .dump();
}

core::result<customer_reply> decode_reply(std::string_view text)
{
    return core::decode_json<customer_reply>(text, [](json const& document) {
        customer_reply reply;
        reply.outcome =
            to_enum(document.at("outcome"), call_outcome::too_large);
        reply.state = to_enum(document.at("state"), jobs::job_state::cancelled);
        reply.pending = document.at("pending");
        reply.retry_after = core::to_duration(document.at("retry_after_ms"));
        return reply;
    });
}

} // namespace sequoiaroute::gateway
