#include "targets/entry_registration.hpp"

#include "core/log.hpp"

#include <array>

#include <fmt/format.h>

namespace sequoiaroute::targets {

namespace {

constexpr char entry_key_prefix[] = "entries/";
constexpr char decider_key[] = "decider";

/// @return the entry record in a row; nothing if the row is absent or malformed
std::optional<peers::entry_record> decode_entry(platform::row const& row)
{
    auto const value = row.value.find("value");
    if (value == row.value.end())
        return std::nullopt;
    auto const record = core::message_from<peers::entry_record>(*value);
    if (!core::is_ok(record))
        return std::nullopt;
    return core::value(record);
}

} // namespace

entry_registration::entry_registration(platform::table& table,
                                       core::clock const& clock,
                                       peers::entry_record self,
                                       core::duration stale_limit)
    : table_(table), clock_(clock), self_(std::move(self)),
      stale_limit_(stale_limit), key_(entry_key_prefix + self_.entry_id)
{
}

core::status entry_registration::write(std::uint64_t version)
{
    core::json value = self_;
    // Each renewal changes the content, so that others recognize it by the
    // version and by the content.
    value["renewals"] = ++renewals_;
    core::json const envelope{
        {"value", value},
        {"writers", {fmt::format("{}/{}", self_.incarnation, renewals_)}}};
    std::array const conditions{platform::row_condition{key_, version}};
    std::array const writes{platform::row_write{key_, envelope}};
    return table_.commit(conditions, writes);
}

core::status entry_registration::renew()
{
    SEQUOIA_TRY_INTO(auto const row, table_.read(key_));
    auto const record = decode_entry(row);
    bool const is_own = !record || record->incarnation == self_.incarnation;
    if (has_written_ && !is_own) {
        return core::error{core::result_code::conflict,
                           "a later process with this entry's id has written "
                           "its row"};
    }
    auto status = write(row.version);
    if (core::is_ok(status) ||
        core::code_of(status) == core::result_code::write_unknown)
        has_written_ = true;
    // The cause may be a later incarnation or an earlier write of this one
    // whose answer was lost. The next renewal reads the row and finds out
    // which.
    if (core::code_of(status) == core::result_code::conflict)
        return core::error{core::result_code::store_unavailable,
                           "the row changed during the renewal"};
    return status;
}

bool entry_registration::is_stale(platform::row const& row)
{
    auto& observed = observed_rows_[row.key];
    if (observed.version != row.version)
        observed = {row.version, clock_.now()};
    return clock_.now() - observed.changed_at > stale_limit_;
}

void entry_registration::remove_row(platform::row const& row)
{
    std::array const conditions{platform::row_condition{row.key, row.version}};
    std::array const writes{platform::row_write{row.key, std::nullopt}};
    auto const status = table_.commit(conditions, writes);
    core::log(core::log_level::info, "deleting the row of a stopped entry",
              {{"row", row.key},
               {"outcome", std::string(core::name(core::code_of(status)))}});
}

core::result<std::vector<entry_row>> entry_registration::scan()
{
    SEQUOIA_TRY_INTO(auto const rows, table_.scan(entry_key_prefix));
    std::vector<entry_row> entries;
    for (auto const& row : rows) {
        if (is_stale(row)) {
            remove_row(row);
            continue;
        }
        if (auto const record = decode_entry(row))
            entries.push_back({*record, row.version});
    }
    return entries;
}

core::result<decider_row> entry_registration::read_decider()
{
    SEQUOIA_TRY_INTO(auto const row, table_.read(decider_key));
    if (row.version == 0)
        return decider_row{};
    auto decoded = core::convert_document<decider_row>(
        row.value, [](core::json const& document) {
            auto const& value = document.at("value");
            return decider_row{value.at("holder").get<std::string>(),
                               value.at("term").get<std::uint64_t>()};
        });
    if (!core::is_ok(decoded))
        return core::error{core::result_code::internal_error,
                           core::failure(decoded).message};
    return decoded;
}

void entry_registration::remove()
{
    auto const row = table_.read(key_);
    if (!core::is_ok(row))
        return;
    auto const record = decode_entry(core::value(row));
    if (record && record->incarnation == self_.incarnation)
        remove_row(core::value(row));
}

} // namespace sequoiaroute::targets
