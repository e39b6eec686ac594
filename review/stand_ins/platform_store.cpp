#include "platform_store.hpp"

#include "record.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

/// How long a transaction takes; a part handles them one after another.
constexpr std::chrono::milliseconds transaction_time{4};
/// How long an answer to another call takes.
constexpr std::chrono::milliseconds read_time{4};
constexpr std::size_t max_entries = 100;
constexpr std::size_t max_rows = 500;
constexpr std::size_t max_value_bytes = 65'536;
constexpr std::size_t max_transaction_bytes = 1'000'000;

constexpr char alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(std::string const& bytes)
{
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            auto const position = index + offset;
            group = (group << 8U) |
                    (position < bytes.size()
                         ? static_cast<unsigned char>(bytes[position])
                         : 0U);
        }
        for (std::size_t offset = 0; offset < 4; ++offset) {
            text.push_back(index + offset > bytes.size()
                               ? '='
                               : alphabet[(group >> (18 - 6 * offset)) & 63U]);
        }
    }
    return text;
}

std::string from_base64(std::string const& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (char const character : text) {
        auto const* const end = alphabet + 64;
        auto const* const found = std::find(alphabet, end, character);
        if (found == end)
            break;
        group = (group << 6U) | static_cast<std::uint32_t>(found - alphabet);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>((group >> bits) & 255U));
        }
    }
    return bytes;
}

} // namespace

void platform_store::start(std::string const& ip, std::uint16_t port,
                           std::string machine)
{
    serve_http(
        ip, port,
        [this, machine = std::move(machine)](http_message const& request) {
            return handle(machine, request);
        });
}

void platform_store::set_refused(std::string const& machine, bool is_refused)
{
    std::lock_guard const lock(mutex_);
    if (is_refused)
        refused_machines_.insert(machine);
    else
        refused_machines_.erase(machine);
    changed_.notify_all();
}

bool platform_store::is_refused(std::string const& machine) const
{
    return is_down_ || refused_machines_.contains(machine);
}

std::string platform_store::newest_key(std::string const& table)
{
    std::lock_guard const lock(mutex_);
    std::string newest;
    std::uint64_t version = 0;
    for (auto const& [key, row] : rows_) {
        if (std::get<0>(key) != table || row.version <= version)
            continue;
        newest = std::get<2>(key);
        version = row.version;
    }
    return newest;
}

void platform_store::put(std::string const& table, std::string const& key,
                         std::string const& value)
{
    std::lock_guard const lock(mutex_);
    rows_[{table, "", key}] = {to_base64(value), ++version_, false};
    changed_.notify_all();
}

std::string platform_store::value_of(std::string const& table,
                                     std::string const& part,
                                     std::string const& key)
{
    std::lock_guard const lock(mutex_);
    auto const found = rows_.find({table, part, key});
    if (found == rows_.end() || found->second.is_removed)
        return {};
    return from_base64(found->second.value);
}

http_message platform_store::handle(std::string const& machine,
                                    http_message const& request)
{
    {
        std::lock_guard const lock(mutex_);
        if (is_refused(machine))
            return json_response(503, "{}");
    }
    if (request.path == "/sequoiaroute/rows-tx")
        return commit(request);
    std::this_thread::sleep_for(read_time);
    if (request.path == "/sequoiaroute/rows-get")
        return get(request);
    if (request.path == "/sequoiaroute/rows-parts")
        return list_parts(request);
    if (request.path == "/sequoiaroute/rows-feed")
        return feed(machine, request);
    return json_response(404, "{}");
}

http_message platform_store::commit(http_message const& request)
{
    auto const body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || request.body.size() > max_transaction_bytes)
        return json_response(400, "{}");
    auto const key_of = [](json const& item) {
        return row_key{item.at("Table"), item.value("part", ""),
                       item.at("Key")};
    };
    auto const empty = json::array();
    auto const conditions = body.value("ExpectedRev", empty);
    auto const puts = body.value("Puts", empty);
    auto const removals = body.value("Remove", empty);
    if (conditions.size() + puts.size() + removals.size() > max_entries)
        return json_response(400, "{}");
    std::string part;
    for (auto const* list : {&conditions, &puts, &removals}) {
        for (auto const& item : *list)
            part = item.value("part", "");
    }
    std::mutex* part_lock = nullptr;
    {
        std::lock_guard const lock(parts_mutex_);
        part_lock = &part_locks_[part];
    }
    std::lock_guard const in_turn(*part_lock);
    std::this_thread::sleep_for(transaction_time);
    std::lock_guard const lock(mutex_);
    json current = json::array();
    bool is_met = true;
    for (auto const& condition : conditions) {
        auto const found = rows_.find(key_of(condition));
        bool const exists = found != rows_.end() && !found->second.is_removed;
        auto const version = exists ? found->second.version : 0;
        is_met = is_met && version == condition.at("Ver").get<std::uint64_t>();
        if (exists)
            current.push_back({{"Table", condition.at("Table")},
                               {"part", condition.value("part", "")},
                               {"Key", condition.at("Key")},
                               {"Value", found->second.value},
                               {"Ver", version}});
    }
    if (!is_met)
        return json_response(412, json{{"rows", current},
                                       {"Ver", version_},
                                       {"NowMs", now_ms() + 1000}}
                                      .dump());
    for (auto const& item : puts) {
        auto const value = item.at("Value").get<std::string>();
        if (from_base64(value).size() > max_value_bytes)
            return json_response(400, "{}");
    }
    ++version_;
    for (auto const& item : puts)
        rows_[key_of(item)] = {item.at("Value"), version_, false};
    for (auto const& item : removals) {
        auto const found = rows_.find(key_of(item));
        if (found != rows_.end() && !found->second.is_removed)
            found->second = {"", version_, true};
    }
    changed_.notify_all();
    return json_response(
        200, json{{"Ver", version_}, {"NowMs", now_ms() + 1000}}.dump());
}

http_message platform_store::get(http_message const& request)
{
    auto const table = query_value(request.query, "Table");
    auto const part = query_value(request.query, "part");
    auto const from = query_value(request.query, "From");
    auto const until = query_value(request.query, "Target");
    auto const limit_text = query_value(request.query, "Limit");
    auto const limit =
        limit_text.empty()
            ? max_rows
            : std::min<std::size_t>(max_rows, std::stoul(limit_text));
    std::lock_guard const lock(mutex_);
    json rows = json::array();
    bool has_more = false;
    for (auto next = rows_.lower_bound({table, part, from});
         next != rows_.end(); ++next) {
        auto const& [row_table, row_part, key] = next->first;
        if (row_table != table || row_part != part ||
            (!until.empty() && key >= until))
            break;
        if (next->second.is_removed)
            continue;
        if (rows.size() == limit) {
            has_more = true;
            break;
        }
        rows.push_back({{"Table", table},
                        {"part", part},
                        {"Key", key},
                        {"Value", next->second.value},
                        {"Ver", next->second.version}});
    }
    return json_response(200, json{{"rows", rows},
                                   {"HasMore", has_more},
                                   {"Ver", version_},
                                   {"NowMs", now_ms() + 1000}}
                                  .dump());
}

http_message platform_store::list_parts(http_message const& request)
{
    auto const table = query_value(request.query, "Table");
    auto const after = query_value(request.query, "After");
    std::lock_guard const lock(mutex_);
    json parts = json::array();
    std::string last;
    for (auto const& [key, row] : rows_) {
        auto const& part = std::get<1>(key);
        if (std::get<0>(key) != table || row.is_removed ||
            (!after.empty() && part <= after) ||
            (!parts.empty() && part == last))
            continue;
        parts.push_back(part);
        last = part;
    }
    return json_response(200, json{{"parts", parts},
                                   {"HasMore", false},
                                   {"Ver", version_},
                                   {"NowMs", now_ms() + 1000}}
                                  .dump());
}

http_message platform_store::feed(std::string const& machine,
                                  http_message const& request)
{
    auto const table = query_value(request.query, "Table");
    auto const after = std::stoull(query_value(request.query, "After"));
    auto const wait = std::stol(query_value(request.query, "WaitMs"));
    auto const deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    std::unique_lock lock(mutex_);
    while (true) {
        if (is_refused(machine))
            return json_response(503, "{}");
        std::vector<std::pair<std::uint64_t, json>> changes;
        for (auto next = rows_.lower_bound({table, "", ""});
             next != rows_.end() && std::get<0>(next->first) == table; ++next) {
            auto const& row = next->second;
            if (row.version <= after)
                continue;
            json change{{"Table", table},
                        {"part", std::get<1>(next->first)},
                        {"Key", std::get<2>(next->first)},
                        {"Ver", row.version}};
            if (row.is_removed)
                change["Removed"] = true;
            else
                change["Value"] = row.value;
            changes.emplace_back(row.version, std::move(change));
        }
        if (!changes.empty() || std::chrono::steady_clock::now() >= deadline) {
            std::stable_sort(changes.begin(), changes.end(),
                             [](auto const& left, auto const& right) {
                                 return left.first < right.first;
                             });
            json rows = json::array();
            for (auto& change : changes)
                rows.push_back(std::move(change.second));
            return json_response(200, json{{"rows", rows},
                                           {"Ver", version_},
                                           {"NowMs", now_ms() + 1000}}
                                          .dump());
        }
        changed_.wait_until(lock, deadline);
    }
}

} // namespace review
