#include "operators/rule_file.hpp"
#include "operators/rules_service.hpp"
#include "programs/client_commands.hpp"
#include "programs/flags.hpp"

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace sequoiaroute::programs {

namespace {

/// Applying rules takes up to 5 s for the write, and then up to 8 s until the
/// other entries confirm the rules.
constexpr core::duration apply_timeout{20'000};

core::error bad_request(std::string message)
{
    return {core::result_code::bad_request, std::move(message)};
}

http::http_request make_rules_request(std::string method, std::string path,
                                      std::string text)
{
    http::http_request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.headers["Content-Type"] = "text/plain";
    request.body = std::move(text);
    return request;
}

/// Checks the syntax of a rule file here and, with a key, its guarantees at an
/// entry.
core::status check_rules(std::string const& path, failover_client& entries)
{
    SEQUOIA_TRY_INTO(auto text, read_file(path));
    SEQUOIA_TRY(operators::parse_rules(path, text));
    if (!absl::GetFlag(FLAGS_key_file).empty()) {
        SEQUOIA_TRY(entries.send(
            make_rules_request("POST", "/v1/rules/check", std::move(text)),
            apply_timeout));
    }
    fmt::print("{}\n", absl::GetFlag(FLAGS_json) ? std::string("{\"ok\":true}")
                                                 : path + ": no faults found");
    return core::success();
}

core::status show_rules(failover_client& entries)
{
    SEQUOIA_TRY_INTO(auto const rules, entries.query("GET", "/v1/rules"));
    if (absl::GetFlag(FLAGS_json)) {
        fmt::print("{}\n", rules.dump());
        return core::success();
    }
    fmt::print(stderr, "generation {}, applied by {}\n",
               core::valid_field_or(rules, "generation", 0),
               core::valid_field_or(rules, "author", std::string("unknown")));
    fmt::print("{}", core::valid_field_or(rules, "text", std::string()));
    return core::success();
}

core::status apply_rules(std::string const& path, failover_client& entries)
{
    auto const generation = absl::GetFlag(FLAGS_generation);
    if (generation < 0) {
        return bad_request("rules apply needs --generation, the number that "
                           "rules show printed when the edit began; 0 if there "
                           "are no rules yet");
    }
    SEQUOIA_TRY_INTO(auto text, read_file(path));
    SEQUOIA_TRY(operators::parse_rules(path, text));
    auto request = make_rules_request("PUT", "/v1/rules", std::move(text));
    request.query["generation"] = std::to_string(generation);
    // Idempotent: an entry that receives a retry finds the rules in the table's
    // row and does not apply them again.
    SEQUOIA_TRY_INTO(auto const response,
                     entries.send(std::move(request), apply_timeout));
    if (absl::GetFlag(FLAGS_json)) {
        fmt::print("{}\n", response.body);
        return core::success();
    }
    SEQUOIA_TRY_INTO(auto const answer, core::parse_json(response.body));
    SEQUOIA_TRY_INTO(auto const outcome,
                     core::message_from<operators::apply_outcome>(answer));
    fmt::print("generation {} is in force at {} entries: {}\n",
               outcome.generation, outcome.confirmed.size(),
               fmt::join(outcome.confirmed, ", "));
    if (!outcome.unconfirmed.empty()) {
        fmt::print("not confirmed by: {}; these refuse new work until they "
                   "have confirmed it\n",
                   fmt::join(outcome.unconfirmed, ", "));
    }
    return core::success();
}

} // namespace

core::status run_rules(command_line const& line, failover_client& entries)
{
    auto const& operands = line.operands;
    if (operands.size() == 2 && operands[0] == "check")
        return check_rules(operands[1], entries);
    if (operands.size() == 2 && operands[0] == "apply")
        return apply_rules(operands[1], entries);
    if (operands.size() == 1 && operands[0] == "show")
        return show_rules(entries);
    return bad_request("rules needs check FILE, apply FILE or show; see rules "
                       "--help");
}

core::status run_dump(command_line const& line, failover_client& entries)
{
    if (!line.operands.empty())
        return bad_request("dump takes no operands");
    SEQUOIA_TRY_INTO(auto const dump,
                     entries.query("GET", absl::GetFlag(FLAGS_counters)
                                              ? "/v1/counters"
                                              : "/v1/dump"));
    fmt::print("{}\n", dump.dump(absl::GetFlag(FLAGS_json) ? -1 : 2));
    return core::success();
}

} // namespace sequoiaroute::programs
