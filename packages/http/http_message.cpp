#include "http/http_message.hpp"

#include "core/codec.hpp"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace sequoiaroute::http {

bool header_less::operator()(std::string_view left,
                             std::string_view right) const
{
    return std::lexicographical_compare(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char first, unsigned char second) {
            return absl::ascii_tolower(first) < absl::ascii_tolower(second);
        });
}

std::string_view http_request::header(std::string_view name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string_view() : found->second;
}

http_response error_response(core::error const& failure)
{
    core::json const document{{"code", static_cast<int>(failure.code)},
                              {"name", core::name(failure.code)},
                              {"message", failure.message}};
    http_response response;
    response.status = core::http_status(failure.code);
    response.headers["Content-Type"] = "application/json";
    response.headers["Result-Code"] =
        std::to_string(static_cast<int>(failure.code));
    // The message may quote input that is not valid UTF-8, for which dump()
    // would throw by default.
    response.body =
        document.dump(-1, ' ', false, core::json::error_handler_t::replace);
    return response;
}

} // namespace sequoiaroute::http
