#include "soak/store_server.hpp"

#include "wire_json.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>

#include <charconv>

namespace sequoiaroute::soak {

namespace {

using adapter::json;

/// When a late commit takes effect.
constexpr core::duration min_late_delay{1000};
constexpr core::duration max_late_delay{6000};
/// Conditions, writes and removals that a transaction may have together.
constexpr std::size_t max_transaction_entries = 100;

/// Decodes percent-encoding.
std::string unescape(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        if (text[index] == '%' && index + 2 < text.size()) {
            std::from_chars(text.data() + index + 1, text.data() + index + 3,
                            value, 16);
            result.push_back(static_cast<char>(value));
            index += 2;
        } else {
            result.push_back(text[index]);
        }
    }
    return result;
}

std::int64_t to_number(std::string const& text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

rows::row_key to_row_key(json const& entry)
{
    return {entry.at("Table"), entry.at("part"), entry.at("Key")};
}

json to_json(rows::row const& row)
{
    json entry{{"Table", row.key.table},
               {"part", row.key.part},
               {"Key", row.key.key},
               {"Ver", row.version}};
    if (row.is_removed)
        entry["Removed"] = true;
    else
        entry["Value"] = absl::Base64Escape(row.value);
    return entry;
}

json to_json(std::vector<rows::row> const& rows)
{
    json list = json::array();
    for (auto const& row : rows)
        list.push_back(to_json(row));
    return list;
}

event::http_response answer(int status, json const& body = json::object())
{
    return {status, {}, body.dump(), "application/json"};
}

std::string parameter(std::map<std::string, std::string> const& query,
                      std::string const& name)
{
    auto const value = query.find(name);
    return value == query.end() ? std::string() : value->second;
}

} // namespace

core::result<std::unique_ptr<store_server>>
store_server::create(event::event_loop& loop, std::string const& address,
                     support::memory_row_store& store, random_source& random)
{
    std::unique_ptr<store_server> self(new store_server(loop, store, random));
    SEQUOIA_TRY_INTO(
        self->server_,
        event::http_server::create(
            loop, self->connections_, address, {},
            [owner = self.get()](auto const& request, auto const& respond) {
                owner->serve(request, respond);
            }));
    return self;
}

void store_server::call_later(core::duration delay, std::function<void()> call)
{
    auto const id = ++last_timer_;
    timers_[id] = loop_.after(delay, [this, id, call = std::move(call)] {
        auto const timer = std::move(timers_[id]);
        timers_.erase(id);
        call();
    });
}

void store_server::serve(event::http_request const& request,
                         event::http_responder const& respond)
{
    if (faults.mode == store_faults::response::silent)
        return;
    if (faults.mode == store_faults::response::refused)
        return respond(answer(503));
    if (faults.mode == store_faults::response::throttled)
        return respond(answer(429));
    parameters query;
    for (auto const part : absl::StrSplit(request.query, '&')) {
        std::pair<std::string, std::string> const pair =
            absl::StrSplit(part, absl::MaxSplits('=', 1));
        query[pair.first] = unescape(pair.second);
    }
    event::http_responder const respond_delayed = [this,
                                                   respond](auto const& reply) {
        // A call that was waiting when the store became silent.
        if (faults.mode == store_faults::response::silent)
            return;
        if (faults.delay == core::duration(0))
            return respond(reply);
        call_later(faults.delay, [respond, reply] { respond(reply); });
    };
    if (request.path == "/sequoiaroute/rows-tx")
        return commit(request.body, respond_delayed);
    if (request.path == "/sequoiaroute/rows-get")
        return read(query, respond_delayed);
    if (request.path == "/sequoiaroute/rows-feed")
        return poll_feed(query, respond_delayed);
    if (request.path == "/sequoiaroute/rows-parts")
        return list_parts(query, respond_delayed);
    respond(answer(404));
}

void store_server::commit(std::string const& body,
                          event::http_responder const& respond)
{
    auto const document = json::parse(body);
    rows::transaction transaction;
    for (auto const& entry : document.at("ExpectedRev"))
        transaction.conditions.push_back({to_row_key(entry), entry.at("Ver")});
    for (auto const& entry : document.at("Puts")) {
        rows::row_write write{to_row_key(entry), {}};
        absl::Base64Unescape(entry.at("Value").get<std::string>(),
                             &write.value);
        transaction.writes.push_back(std::move(write));
    }
    for (auto const& entry : document.at("Remove"))
        transaction.removals.push_back(to_row_key(entry));
    if (transaction.conditions.size() + transaction.writes.size() +
            transaction.removals.size() >
        max_transaction_entries)
        return respond(answer(400));
    if (random_.happens(faults.late_write_probability)) {
        call_later(random_.between(min_late_delay, max_late_delay),
                   [this, transaction] {
                       store_.commit(transaction, {}, [](auto const&) {});
                   });
        return;
    }
    bool const is_response_lost =
        random_.happens(faults.lost_response_probability);
    store_.commit(transaction, core::duration(1000),
                  [this, transaction, respond,
                   is_response_lost](rows::commit_result const& result) {
                      bool const is_applied =
                          result.outcome == rows::commit_outcome::committed;
                      if (is_applied && on_commit != nullptr)
                          on_commit(transaction);
                      if (is_response_lost)
                          return;
                      json reply{{"NowMs", result.store_time.count()}};
                      if (result.outcome == rows::commit_outcome::conflict) {
                          reply["rows"] = to_json(result.current);
                          return respond(answer(412, reply));
                      }
                      reply["Ver"] = result.version;
                      respond(answer(200, reply));
                  });
}

void store_server::read(parameters const& query,
                        event::http_responder const& respond)
{
    rows::range range{parameter(query, "Table"), parameter(query, "part"),
                      parameter(query, "From"), std::nullopt};
    if (query.contains("Target"))
        range.until = parameter(query, "Target");
    if (query.contains("Limit")) {
        range.limit =
            static_cast<std::size_t>(to_number(parameter(query, "Limit")));
    }
    store_.read(std::move(range), [respond](rows::page const& page) {
        respond(answer(200, {{"rows", to_json(page.rows)},
                             {"HasMore", page.has_more},
                             {"Ver", page.version},
                             {"NowMs", page.store_time.count()}}));
    });
}

void store_server::poll_feed(parameters const& query,
                             event::http_responder const& respond)
{
    store_.poll_feed(
        parameter(query, "Table"),
        static_cast<rows::row_version>(to_number(parameter(query, "After"))),
        core::duration(to_number(parameter(query, "WaitMs"))),
        [respond](rows::feed_page const& page) {
            if (page.outcome == rows::feed_outcome::unavailable)
                return;
            if (page.outcome == rows::feed_outcome::history_lost)
                return respond(answer(410));
            respond(answer(
                200, {{"rows", to_json(page.rows)}, {"Ver", page.version}}));
        });
}

void store_server::list_parts(parameters const& query,
                              event::http_responder const& respond)
{
    store_.list_parts(
        parameter(query, "Table"), [respond](rows::part_list const& list) {
            respond(answer(200, {{"parts", list.parts}, {"HasMore", false}}));
        });
}

} // namespace sequoiaroute::soak
