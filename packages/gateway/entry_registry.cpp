#include "gateway/entry_registry.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::gateway {

namespace {

constexpr std::string_view entries_table = "sequoiaroute-entries";
constexpr std::string_view entries_part = "entries";
constexpr core::duration register_period{4000};
constexpr core::duration entries_feed_wait{4000};
constexpr core::duration register_timeout{1000};

} // namespace

entry_registry::entry_registry(rows::monitored_store& store,
                               event::timer_service& timers,
                               std::string address)
    : store_(store), timers_(timers), address_(std::move(address)),
      entries_(store, timers,
               {std::string(entries_table),
                entries_feed_wait,
                core::duration(0),
                {},
                {std::string(entries_part)}},
               [](rows::row const&) {
                   // other_addresses() reads the replica itself.
               })
{
}

void entry_registry::start()
{
    entries_.start();
    register_self();
    register_timer_ =
        timers_.every(register_period, [this] { register_self(); });
}

void entry_registry::register_self()
{
    if (!store_.is_reachable())
        return;
    rows::transaction changes;
    changes.writes.push_back(
        {{std::string(entries_table), std::string(entries_part), address_},
         fmt::format("{}", ++registration_count_)});
    store_.commit(std::move(changes), register_timeout,
                  [](rows::commit_result const&) {
                      // A failed registration is not retried; the next one
                      // follows after the register period.
                  });
}

std::vector<std::string> entry_registry::other_addresses() const
{
    std::vector<rows::row const*> rows;
    for (auto const& [key, row] : entries_.rows()) {
        if (key.key != address_)
            rows.push_back(&row);
    }
    std::sort(rows.begin(), rows.end(),
              [](auto const* left, auto const* right) {
                  return left->version > right->version;
              });
    std::vector<std::string> addresses;
    addresses.reserve(rows.size());
    for (auto const* row : rows)
        addresses.push_back(row->key.key);
    return addresses;
}

} // namespace sequoiaroute::gateway
