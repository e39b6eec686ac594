#include "workers/agent_settings.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"

#include <algorithm>
#include <fstream>

#include <fmt/format.h>

namespace sequoiaroute::workers {

namespace {

using core::setting_type;

/// Threads beyond the slots, for messages such as query, fence and stop, which
/// must not wait for requests in flight.
constexpr std::size_t control_threads = 8;

core::error make_error(std::string_view file_name, std::string const& text)
{
    return {core::result_code::bad_settings,
            fmt::format("{}: {}", file_name, text)};
}

core::result<std::string> read_key_file(std::string const& path)
{
    std::ifstream file(path);
    std::string key;
    if (!file || !std::getline(file, key) || key.empty()) {
        return core::error{
            core::result_code::bad_settings,
            fmt::format("key keys.system_file: {} holds no key", path)};
    }
    return key;
}

void read_timing(core::settings const& values, agent_settings& result)
{
    result.contact_limit = values.time("timing.contact_limit");
    result.authority_limit = values.time("timing.authority_limit");
    result.checkpoint_grace = values.time("timing.checkpoint_grace");
    result.drain_grace = values.time("timing.drain_grace");
    result.drain_store_limit = values.time("timing.drain_store_limit");
    result.platform_time_limit = values.time("timing.platform_time_limit");
    result.write_recovery_limit = values.time("timing.write_recovery_limit");
    result.gang_beat_period = values.time("timing.gang_beat_period");
    result.registry.answer_retention = values.time("timing.answer_retention");
    result.registry.fence_retention = values.time("timing.fence_retention");
    result.supervisor.reservation_limit =
        values.time("timing.reservation_limit");
    result.supervisor.lease = values.time("timing.task_lease");
    result.supervisor.renew_period = values.time("timing.renew_period");
    // A beat times out before the next one is due.
    result.gang_beats.call_limit = result.gang_beat_period * 9 / 10;
    result.gang_beats.silence_limit = values.time("timing.gang_silence_limit");
    result.entry_client.report_period = values.time("timing.report_period");
    result.entry_client.leaving_report_period =
        values.time("timing.leaving_report_period");
    result.entry_client.call_limit = values.time("timing.report_time_limit");
    result.links.ping_period = values.time("timing.ping_period");
    result.links.silence_limit = values.time("timing.silence_limit");
    result.links.connect_limit = values.time("timing.connect_limit");
}

void read_target(core::settings const& values, agent_settings& result)
{
    result.agent_id = values.text("agent.id");
    result.data_centre = values.text("agent.data_centre");
    result.rack = values.text("agent.rack");
    result.peer_address = values.text("agent.peer_address");
    result.advertised_address = values.text("agent.advertised_address");
    if (result.advertised_address.empty())
        result.advertised_address = result.peer_address;
    result.entry_client.agent_id = result.agent_id;
    result.entry_client.seed_addresses = values.addresses("agent.entries");
    result.executor_address = values.text("executor.address");
    result.service = values.text("executor.service");
    result.slots = static_cast<int>(values.integer("executor.slots"));
    result.runtime_address = values.text("worker.runtime_address");
    result.supervisor.worker_id = result.agent_id;
    result.supervisor.total = {
        static_cast<int>(values.integer("worker.cores")),
        static_cast<int>(values.integer("worker.memory_megabytes")),
        static_cast<int>(values.integer("worker.accelerators"))};
    result.table_address = values.text("platform.table_address");
    result.object_store_address = values.text("platform.object_store_address");
}

/// Finds a time setting of zero, which as a period would make the timer threads
/// spin.
/// @return the first such key, empty if there is none
std::string find_zero_duration(core::settings const& values)
{
    for (auto const& description : agent_settings::descriptions()) {
        auto key = fmt::format("{}.{}", description.section, description.key);
        if (description.type == setting_type::time &&
            values.time(key) == core::duration::zero())
            return key;
    }
    return {};
}

/// Checks single values and the relations between them.
/// @return a description of the first invalid setting, empty if there is none
std::string find_invalid_setting(core::settings const& values,
                                 agent_settings const& result)
{
    if (!core::is_identifier(result.agent_id))
        return "key agent.id is not an identifier";
    auto const& kind = values.text("agent.kind");
    if (kind != "executor" && kind != "worker")
        return fmt::format("key agent.kind: \"{}\" is not executor or worker",
                           kind);
    if (kind == "executor" && result.executor_address.empty())
        return "key executor.address is missing";
    if (kind == "executor" && result.service.empty())
        return "key executor.service is missing";
    if (kind == "executor" && result.slots < 1)
        return "key executor.slots is not positive";
    if (kind == "worker" && result.runtime_address.empty())
        return "key worker.runtime_address is missing";
    if (kind == "worker" && result.supervisor.total.cores < 1)
        return "key worker.cores is not positive";
    if (result.entry_client.seed_addresses.empty())
        return "key agent.entries lists no entry";
    if (auto const key = find_zero_duration(values); !key.empty())
        return fmt::format("key {} is zero", key);
    if (result.supervisor.renew_period * 2 > result.supervisor.lease)
        return "key timing.renew_period is more than half of "
               "timing.task_lease";
    return {};
}

core::status apply_log_level(std::string const& text,
                             std::string_view file_name)
{
    constexpr std::pair<std::string_view, core::log_level> levels[] = {
        {"debug", core::log_level::debug},
        {"info", core::log_level::info},
        {"warning", core::log_level::warning},
        {"error", core::log_level::error}};
    for (auto const& [name, level] : levels) {
        if (name == text) {
            core::set_log_level(level);
            return core::success();
        }
    }
    return make_error(
        file_name, fmt::format("key log.level: \"{}\" is not a level", text));
}

} // namespace

std::vector<core::setting_description> agent_settings::descriptions()
{
    return {
        {"agent", "id", setting_type::text, "", true},
        {"agent", "kind", setting_type::text, "", true},
        {"agent", "data_centre", setting_type::text, "", true},
        {"agent", "rack", setting_type::text, "", true},
        {"agent", "peer_address", setting_type::address, "", true},
        {"agent", "advertised_address", setting_type::address, "", false},
        {"agent", "entries", setting_type::address_list, "", true},
        {"executor", "address", setting_type::address, "", false},
        {"executor", "service", setting_type::text, "", false},
        {"executor", "slots", setting_type::integer, "8", false},
        {"executor", "connections", setting_type::integer, "64", false},
        {"worker", "runtime_address", setting_type::address, "", false},
        {"worker", "cores", setting_type::integer, "0", false},
        {"worker", "memory_megabytes", setting_type::integer, "0", false},
        {"worker", "accelerators", setting_type::integer, "0", false},
        {"platform", "table_address", setting_type::address, "", true},
        {"platform", "object_store_address", setting_type::address, "", true},
        {"keys", "system_file", setting_type::text, "", true},
        {"log", "level", setting_type::text, "info", false},
        {"timing", "report_period", setting_type::time, "5s", false},
        {"timing", "leaving_report_period", setting_type::time, "1s", false},
        {"timing", "report_time_limit", setting_type::time, "2s", false},
        {"timing", "contact_limit", setting_type::time, "20s", false},
        {"timing", "authority_limit", setting_type::time, "90min", false},
        {"timing", "checkpoint_grace", setting_type::time, "5s", false},
        {"timing", "drain_grace", setting_type::time, "30s", false},
        {"timing", "drain_store_limit", setting_type::time, "60s", false},
        {"timing", "platform_time_limit", setting_type::time, "2s", false},
        {"timing", "write_recovery_limit", setting_type::time, "5s", false},
        {"timing", "reservation_limit", setting_type::time, "10s", false},
        {"timing", "task_lease", setting_type::time, "5s", false},
        {"timing", "renew_period", setting_type::time, "1500ms", false},
        {"timing", "gang_beat_period", setting_type::time, "1s", false},
        {"timing", "gang_silence_limit", setting_type::time, "3s", false},
        {"timing", "answer_retention", setting_type::time, "10min", false},
        {"timing", "fence_retention", setting_type::time, "1h", false},
        {"timing", "ping_period", setting_type::time, "1s", false},
        {"timing", "silence_limit", setting_type::time, "3s", false},
        {"timing", "connect_limit", setting_type::time, "1s", false},
        {"limits", "answer_bytes", setting_type::size, "32MB", false},
        {"limits", "unstored_result_bytes", setting_type::size, "64MB", false},
    };
}

core::result<agent_settings> agent_settings::create(std::string const& path)
{
    SEQUOIA_TRY_INTO(auto const values,
                     core::settings::create(path, descriptions()));
    return create_from(values, path);
}

core::result<agent_settings>
agent_settings::create_from(core::settings const& values,
                            std::string_view file_name)
{
    agent_settings result;
    result.values_by_key = values.values();
    read_target(values, result);
    read_timing(values, result);
    if (auto const problem = find_invalid_setting(values, result);
        !problem.empty())
        return make_error(file_name, problem);
    SEQUOIA_TRY(apply_log_level(values.text("log.level"), file_name));
    result.kind = values.text("agent.kind") == "worker"
                      ? peers::target_kind::worker
                      : peers::target_kind::executor;
    auto key = read_key_file(values.text("keys.system_file"));
    if (!is_ok(key))
        return make_error(file_name, failure(key).message);
    result.shared_key = value(std::move(key));
    result.registry.answer_bytes =
        static_cast<std::size_t>(values.size_in_bytes("limits.answer_bytes"));
    result.unstored_result_bytes = static_cast<std::size_t>(
        values.size_in_bytes("limits.unstored_result_bytes"));
    result.server.address = result.peer_address;
    result.server.key = result.shared_key;
    auto const slots = static_cast<std::size_t>(std::max(result.slots, 1));
    result.server.thread_count = slots + control_threads;
    // Requests beyond the slots wait briefly for a thread. Their handler then
    // refuses them, so that the refusal is recorded.
    result.server.max_pending_requests = 4 * result.server.thread_count;
    return result;
}

} // namespace sequoiaroute::workers
