#include "notices/row_notice.hpp"

#include "core/codec.hpp"

namespace sequoiaroute::notices {

using core::json;

std::string encode(row_notice const& notice)
{
    json rows = json::array();
    for (auto const& row : notice.rows) {
        rows.push_back(
            {row.key.table, row.key.part, row.key.key, row.value, row.version});
    }
    return json{{"decider", notice.decider_address}, {"rows", std::move(rows)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

core::result<row_notice> decode_row_notice(std::string_view text)
{
    return core::decode_json<row_notice>(text, [](json const& document) {
        row_notice notice;
        notice.decider_address = document.at("decider");
        for (auto const& item : core::elements_of(document.at("rows"))) {
            rows::row row;
            row.key = {item.at(0), item.at(1), item.at(2)};
            row.value = item.at(3);
            row.version = item.at(4);
            notice.rows.push_back(std::move(row));
        }
        return notice;
    });
}

} // namespace sequoiaroute::notices
