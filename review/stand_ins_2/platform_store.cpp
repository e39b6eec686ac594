#include "platform_store.hpp"

#include "record.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <set>

namespace review {

using nlohmann::json;

namespace {

/// How long the store takes for an answer.
constexpr auto answer_time = std::chrono::milliseconds(4);
constexpr std::size_t most_rows = 500;
/// RowBytes, 65,536, in Base64.
constexpr std::size_t most_value_letters = 87'384;

platform_store::row_key key_from(json const& element)
{
    return {element.value("Table", ""), element.value("part", ""),
            element.value("Key", "")};
}

} // namespace

std::string to_base64(std::string const& text)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::uint32_t bits = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            bits <<= 8U;
            if (index + offset < text.size())
                bits |= static_cast<unsigned char>(text[index + offset]);
        }
        for (std::size_t offset = 0; offset < 4; ++offset) {
            bool const is_padding = index + offset > text.size();
            encoded.push_back(
                is_padding ? '=' : digits[(bits >> (18U - 6U * offset)) & 63U]);
        }
    }
    return encoded;
}

void platform_store::put(std::string const& table, std::string const& key,
                         std::string const& value)
{
    std::lock_guard const lock(mutex_);
    ++version_;
    write({table, "", key}, to_base64(value));
    changed_.notify_all();
}

http_response platform_store::serve(http_request const& request)
{
    if (request.path == "/sequoiaroute/rows-feed")
        return poll_feed(request);
    std::this_thread::sleep_for(answer_time);
    std::lock_guard const lock(mutex_);
    if (request.path == "/sequoiaroute/rows-tx")
        return commit(request.body);
    if (request.path == "/sequoiaroute/rows-get")
        return read(request);
    if (request.path == "/sequoiaroute/rows-parts")
        return list_parts(request);
    return {404, "{}"};
}

void platform_store::write(row_key const& key, std::string value)
{
    rows_[key] = {std::move(value), version_};
    history_.push_back({key, version_, false});
}

void platform_store::remove(row_key const& key)
{
    if (rows_.erase(key) > 0)
        history_.push_back({key, version_, true});
}

json platform_store::to_json(row_key const& key, row const& item) const
{
    auto const& [table, part, name] = key;
    return {{"Table", table},
            {"part", part},
            {"Key", name},
            {"Value", item.value},
            {"Ver", item.version}};
}

http_response platform_store::make_reply(int status, json body) const
{
    body["Ver"] = version_;
    body["NowMs"] = now_ms();
    return {status, body.dump()};
}

http_response platform_store::commit(std::string const& body)
{
    auto const call = json::parse(body);
    bool is_met = true;
    json current = json::array();
    for (auto const& condition : call.value("ExpectedRev", json::array())) {
        auto const found = rows_.find(key_from(condition));
        auto const version = found == rows_.end() ? 0 : found->second.version;
        is_met = is_met && version == condition.value("Ver", std::uint64_t{0});
        if (found != rows_.end())
            current.push_back(to_json(found->first, found->second));
    }
    if (!is_met)
        return make_reply(412, {{"rows", current}});
    auto const puts = call.value("Puts", json::array());
    for (auto const& element : puts) {
        if (element.value("Value", "").size() > most_value_letters)
            return {400, "{}"};
    }
    ++version_;
    for (auto const& element : call.value("Remove", json::array()))
        remove(key_from(element));
    for (auto const& element : puts)
        write(key_from(element), element.value("Value", ""));
    changed_.notify_all();
    return make_reply(200, json::object());
}

http_response platform_store::read(http_request const& request)
{
    auto const table = request.parameter("Table");
    auto const part = request.parameter("part");
    auto const limit_text = request.parameter("Limit");
    auto const limit =
        limit_text.empty()
            ? most_rows
            : std::min<std::size_t>(
                  most_rows, std::strtoul(limit_text.c_str(), nullptr, 10));
    auto const until = request.parameter("Target");
    json rows = json::array();
    bool has_more = false;
    for (auto next =
             rows_.lower_bound({table, part, request.parameter("From")});
         next != rows_.end(); ++next) {
        auto const& [row_table, row_part, key] = next->first;
        if (row_table != table || row_part != part ||
            (!until.empty() && key >= until))
            break;
        if (rows.size() == limit) {
            has_more = true;
            break;
        }
        rows.push_back(to_json(next->first, next->second));
    }
    return make_reply(200, {{"rows", rows}, {"HasMore", has_more}});
}

http_response platform_store::list_parts(http_request const& request)
{
    std::set<std::string> parts;
    for (auto const& [key, item] : rows_) {
        if (std::get<0>(key) == request.parameter("Table") &&
            std::get<1>(key) > request.parameter("After"))
            parts.insert(std::get<1>(key));
    }
    return make_reply(200, {{"parts", parts}, {"HasMore", false}});
}

http_response platform_store::poll_feed(http_request const& request)
{
    auto const table = request.parameter("Table");
    auto const after =
        std::strtoull(request.parameter("After").c_str(), nullptr, 10);
    auto const wait = std::chrono::milliseconds(
        std::strtol(request.parameter("WaitMs").c_str(), nullptr, 10));
    std::unique_lock lock(mutex_);
    json rows = json::array();
    auto const collect = [&] {
        std::map<row_key, change> last;
        for (auto const& item : history_) {
            if (item.version > after && std::get<0>(item.key) == table)
                last[item.key] = item;
        }
        std::vector<change> ordered;
        ordered.reserve(last.size());
        for (auto const& [key, item] : last)
            ordered.push_back(item);
        std::sort(ordered.begin(), ordered.end(),
                  [](auto const& left, auto const& right) {
                      return left.version < right.version;
                  });
        for (auto const& item : ordered) {
            auto const found = rows_.find(item.key);
            json element =
                to_json(item.key, found == rows_.end() ? row{} : found->second);
            element["Ver"] = item.version;
            if (item.is_removed)
                element["Removed"] = true;
            rows.push_back(std::move(element));
        }
        return !rows.empty();
    };
    changed_.wait_for(lock, wait, collect);
    return make_reply(200, {{"rows", rows}});
}

store_door::store_door(platform_store& store, std::string const& address)
    : store_(store),
      server_(
          address,
          [this](http_request const& request) -> std::optional<http_response> {
              if (is_turned_away)
                  return http_response{503, "{}"};
              auto response = store_.serve(request);
              // Only a feed waits; a transaction that was done is
              // answered.
              if (is_turned_away && request.method == "GET")
                  return http_response{503, "{}"};
              return response;
          })
{
}

} // namespace review
