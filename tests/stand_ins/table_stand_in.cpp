#include "stand_ins/table_stand_in.hpp"

#include <algorithm>

namespace sequoiaroute::stand_ins {

namespace {

/// Wraps a handler so that the faults delay_ms, frozen and down apply to it.
http::http_handler with_faults(control& control, http::http_handler handler)
{
    return [&control, handler = std::move(handler)](auto const& request) {
        control.apply_delay("/table");
        if (control.fault_number("/table/down") != 0)
            return http::http_response{503, {}, ""};
        return handler(request);
    };
}

/// @return a parameter of the query, empty if it is absent
std::string query_parameter(http::http_request const& request, char const* name)
{
    auto const found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

} // namespace

void table_stand_in::serve(http::http_server& server)
{
    server.route("GET", "/table/row",
                 with_faults(control_, [this](auto const& request) {
                     return read(query_parameter(request, "key"));
                 }));
    server.route("GET", "/table/rows",
                 with_faults(control_, [this](auto const& request) {
                     return scan(query_parameter(request, "prefix"));
                 }));
    server.route("POST", "/table/commit",
                 with_faults(control_, json_handler([this](auto const& body) {
                                 return commit(body);
                             })));
}

http::http_response table_stand_in::read(std::string const& key)
{
    ++control_.counters().counter("table.reads");
    bool const is_stale = control_.consume_fault("/table/stale_reads");
    std::lock_guard const lock(mutex_);
    auto const& source = is_stale ? previous_rows_ : rows_;
    auto const found = source.find(key);
    auto const row = found == source.end() ? stored_row() : found->second;
    return json_response(
        {{"key", key}, {"version", row.version}, {"value", row.value}});
}

http::http_response table_stand_in::scan(std::string const& prefix)
{
    std::lock_guard const lock(mutex_);
    auto rows = core::json::array();
    for (auto next = rows_.lower_bound(prefix);
         next != rows_.end() && next->first.starts_with(prefix); ++next)
        rows.push_back({{"key", next->first},
                        {"version", next->second.version},
                        {"value", next->second.value}});
    ++control_.counters().counter("table.scans");
    control_.counters().counter("table.scanned_rows") +=
        static_cast<std::int64_t>(rows.size());
    return json_response({{"rows", std::move(rows)}});
}

http::http_response table_stand_in::commit(core::json const& transaction)
{
    auto const& writes = transaction.at("writes");
    ++control_.counters().counter("table.commits");
    if (control_.consume_fault("/table/drop_before"))
        return {0, {}, ""};
    {
        std::lock_guard const lock(mutex_);
        for (auto const& condition : transaction.at("conditions")) {
            auto const key = condition.at("key").get<std::string>();
            auto const found = rows_.find(key);
            auto const version =
                found == rows_.end() ? 0 : found->second.version;
            if (version != condition.at("version").get<std::uint64_t>())
                return json_response({{"key", key}}, 409);
        }
        apply_writes(writes);
    }
    if (must_drop_response(writes))
        return {0, {}, ""};
    return json_response(core::json::object());
}

void table_stand_in::apply_writes(core::json const& writes)
{
    auto committed_writes = core::json::array();
    for (auto const& write : writes) {
        auto const key = write.at("key").get<std::string>();
        auto const& value = write.at("value");
        previous_rows_[key] = rows_[key];
        rows_[key] = {++last_version_, value};
        committed_writes.push_back(
            {{"key", key}, {"version", last_version_}, {"value", value}});
        if (value.is_null())
            rows_.erase(key);
    }
    if (!committed_writes.empty())
        control_.event_journal().record(
            "commit", {{"writes", std::move(committed_writes)}});
}

bool table_stand_in::must_drop_response(core::json const& writes)
{
    auto const prefix = control_.fault_text("/table/lose_answers_prefix");
    bool const is_affected =
        std::any_of(writes.begin(), writes.end(), [&](auto const& write) {
            return write.at("key").template get<std::string>().starts_with(
                prefix);
        });
    return is_affected && control_.consume_fault("/table/lose_answers");
}

} // namespace sequoiaroute::stand_ins
