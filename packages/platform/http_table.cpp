#include "platform/http_table.hpp"

namespace sequoiaroute::platform {

namespace {

core::result<row> to_row(core::json const& document)
{
    auto decoded =
        core::convert_document<row>(document, [](core::json const& source) {
            return row{source.at("key").get<std::string>(),
                       source.at("version").get<std::uint64_t>(),
                       source.at("value")};
        });
    if (!core::is_ok(decoded))
        return core::error{core::result_code::store_unavailable,
                           core::failure(decoded).message};
    return decoded;
}

core::json transaction_to_json(std::span<row_condition const> conditions,
                               std::span<row_write const> writes)
{
    auto condition_list = core::json::array();
    for (auto const& condition : conditions)
        condition_list.push_back(
            {{"key", condition.key}, {"version", condition.version}});
    auto write_list = core::json::array();
    for (auto const& write : writes)
        write_list.push_back(
            {{"key", write.key}, {"value", write.value.value_or(nullptr)}});
    return {{"conditions", std::move(condition_list)},
            {"writes", std::move(write_list)}};
}

} // namespace

http_table::http_table(http::http_client& client, service_endpoint service)
    : client_(client), service_(std::move(service))
{
}

core::result<core::json> http_table::get_json(std::string_view path,
                                              std::string parameter,
                                              std::string_view argument)
{
    auto const outcome = get(client_, service_, path,
                             {{std::move(parameter), std::string(argument)}});
    if (!core::is_ok(outcome)) {
        auto failure = core::failure(outcome);
        if (failure.code != core::result_code::timed_out)
            failure.code = core::result_code::store_unavailable;
        return failure;
    }
    auto const& response = core::value(outcome);
    if (response.status != 200)
        return unexpected_status(core::result_code::store_unavailable,
                                 "reading from the table", response);
    auto document = core::parse_json(response.body);
    if (!core::is_ok(document))
        return core::error{core::result_code::store_unavailable,
                           core::failure(document).message};
    return document;
}

core::result<row> http_table::read(std::string_view key)
{
    SEQUOIA_TRY_INTO(auto const document, get_json("/table/row", "key", key));
    return to_row(document);
}

core::result<std::vector<row>> http_table::scan(std::string_view prefix)
{
    SEQUOIA_TRY_INTO(auto const document,
                     get_json("/table/rows", "prefix", prefix));
    auto const rows = document.find("rows");
    if (rows == document.end() || !rows->is_array())
        return core::error{core::result_code::store_unavailable,
                           "the response of the table has no rows"};
    std::vector<row> decoded_rows;
    for (auto const& item : *rows) {
        SEQUOIA_TRY_INTO(auto decoded_row, to_row(item));
        decoded_rows.push_back(std::move(decoded_row));
    }
    return decoded_rows;
}

core::status http_table::commit(std::span<row_condition const> conditions,
                                std::span<row_write const> writes)
{
    auto const outcome = post_json(client_, service_, "/table/commit",
                                   transaction_to_json(conditions, writes));
    if (core::code_of(outcome) == core::result_code::unreachable)
        return core::error{core::result_code::store_unavailable,
                           core::failure(outcome).message};
    if (!core::is_ok(outcome))
        return core::error{core::result_code::write_unknown,
                           core::failure(outcome).message};
    auto const& response = core::value(outcome);
    switch (response.status) {
    case 200:
        return core::success();
    case 400:
        return unexpected_status(core::result_code::bad_request,
                                 "committing to the table", response);
    case 409:
        return core::error{core::result_code::conflict, response.body};
    case 503:
        return unexpected_status(core::result_code::store_unavailable,
                                 "committing to the table", response);
    default:
        return unexpected_status(core::result_code::write_unknown,
                                 "committing to the table", response);
    }
}

} // namespace sequoiaroute::platform
