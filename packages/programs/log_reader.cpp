#include "programs/log_reader.hpp"

#include "core/codec.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::programs {

std::string logged_event::text(char const* name) const
{
    return core::valid_field_or(fields, name, std::string());
}

std::int64_t logged_event::number(char const* name) const
{
    return core::valid_field_or(fields, name, std::int64_t{0});
}

core::result<logged_event> parse_event(std::string_view line)
{
    auto const begin = line.find('{');
    if (begin == std::string_view::npos)
        return core::error{core::result_code::bad_request, "no object"};
    SEQUOIA_TRY_INTO(auto document, core::parse_json(line.substr(begin)));
    return core::convert_document<logged_event>(
        document, [](core::json const& source) {
            return logged_event{core::to_duration(source.at("time_ms")).count(),
                                source.at("node"), source.at("event"), source};
        });
}

core::result<std::unique_ptr<log_reader>>
log_reader::create(std::vector<std::string> const& paths)
{
    std::vector<std::unique_ptr<std::istream>> logs;
    for (auto const& path : paths) {
        auto file = std::make_unique<std::ifstream>(path);
        if (!*file)
            return core::error{core::result_code::bad_request,
                               fmt::format("{} cannot be read", path)};
        logs.push_back(std::move(file));
    }
    return std::make_unique<log_reader>(std::move(logs));
}

log_reader::log_reader(std::vector<std::unique_ptr<std::istream>> logs)
{
    for (auto& log : logs) {
        sources_.push_back({std::move(log), {}, false});
        advance(sources_.back());
    }
}

void log_reader::advance(source& log)
{
    for (std::string line; std::getline(*log.log, line);) {
        auto event = parse_event(line);
        if (core::is_ok(event)) {
            log.next = core::value(std::move(event));
            return;
        }
        ++skipped_lines_;
    }
    log.is_at_end = true;
}

bool log_reader::next(logged_event& event)
{
    auto const earliest =
        std::min_element(sources_.begin(), sources_.end(),
                         [](auto const& left, auto const& right) {
                             if (left.is_at_end || right.is_at_end)
                                 return !left.is_at_end && right.is_at_end;
                             return left.next.time_ms < right.next.time_ms;
                         });
    if (earliest == sources_.end() || earliest->is_at_end)
        return false;
    event = std::move(earliest->next);
    advance(*earliest);
    return true;
}

} // namespace sequoiaroute::programs
