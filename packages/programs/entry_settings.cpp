#include "programs/entry_settings.hpp"

#include "core/identifier.hpp"

#include <fstream>

#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

using core::setting_type;

core::error bad_settings(std::string message)
{
    return {core::result_code::bad_settings, std::move(message)};
}

core::setting_description required_setting(std::string section, std::string key,
                                           setting_type type)
{
    return {std::move(section), std::move(key), type, {}, true};
}

/// @param default_text a duration with its unit
core::setting_description timing_setting(std::string key,
                                         std::string default_text)
{
    return {"timing", std::move(key), setting_type::time,
            std::move(default_text), false};
}

core::setting_description limit_setting(std::string key,
                                        std::string default_text)
{
    return {"limits", std::move(key), setting_type::integer,
            std::move(default_text), false};
}

} // namespace

std::vector<core::setting_description> entry_setting_descriptions()
{
    return {
        required_setting("entry", "id", setting_type::text),
        required_setting("entry", "data_centre", setting_type::text),
        required_setting("entry", "http_address", setting_type::address),
        required_setting("entry", "peer_address", setting_type::address),
        {"entry", "peers", setting_type::address_list, "", false},
        required_setting("platform", "table_address", setting_type::address),
        required_setting("platform", "object_store_address",
                         setting_type::address),
        required_setting("keys", "customers_file", setting_type::text),
        required_setting("keys", "operators_file", setting_type::text),
        required_setting("keys", "system_file", setting_type::text),
        {"log", "level", setting_type::text, "info", false},
        {"policy", "weights", setting_type::text, "completion", false},
        timing_setting("rules_read_period", "1s"),
        timing_setting("rules_confirmation_limit", "8s"),
        timing_setting("sync_period", "1s"),
        timing_setting("entry_renew_period", "5s"),
        timing_setting("entry_live_limit", "15s"),
        timing_setting("suspect_after", "15s"),
        timing_setting("lost_after", "30s"),
        timing_setting("lost_without_contact", "90min"),
        timing_setting("lost_margin", "2min"),
        timing_setting("decider_renew_period", "500ms"),
        timing_setting("decider_takeover_after", "2s"),
        timing_setting("decider_round_period", "500ms"),
        timing_setting("job_scan_period", "30s"),
        timing_setting("ping_period", "1s"),
        timing_setting("silence_limit", "3s"),
        timing_setting("peer_call_limit", "1s"),
        timing_setting("platform_call_limit", "2s"),
        timing_setting("not_ready_before_stop", "3s"),
        timing_setting("drain_limit", "35s"),
        timing_setting("receive_limit", "10s"),
        limit_setting("http_threads", "64"),
        limit_setting("peer_threads", "16"),
        limit_setting("keeper_agents", "3"),
        {"limits", "body_size", setting_type::size, "4MB", false},
    };
}

core::result<core::settings> read_entry_settings(std::string const& path)
{
    if (path.empty())
        return bad_settings("serve needs --settings=FILE");
    SEQUOIA_TRY_INTO(auto settings, core::settings::create(
                                        path, entry_setting_descriptions()));
    if (!core::is_identifier(settings.text("entry.id"))) {
        return bad_settings(
            fmt::format("{}: key entry.id: \"{}\" is not an identifier", path,
                        settings.text("entry.id")));
    }
    auto const& weights = settings.text("policy.weights");
    if (weights != "completion" && weights != "fragmentation") {
        return bad_settings(
            fmt::format("{}: key policy.weights: \"{}\" is not completion or "
                        "fragmentation",
                        path, weights));
    }
    return settings;
}

policy::policy_weights policy_weights_of(core::settings const& settings)
{
    return settings.text("policy.weights") == "fragmentation"
               ? policy::fragmentation_weights
               : policy::completion_time_weights;
}

core::result<std::string> read_system_key(std::string const& path)
{
    std::ifstream file(path);
    std::string key;
    if (!(file >> key)) {
        return bad_settings(
            fmt::format("{}: cannot be read or contains no key", path));
    }
    return key;
}

} // namespace sequoiaroute::programs
