#include "stand_ins/control.hpp"

#include <cstdio>
#include <cstdlib>
#include <thread>

#include <unistd.h>

namespace sequoiaroute::stand_ins {

namespace {

constexpr core::duration frozen_poll_period{10};

} // namespace

void control::serve(http::http_server& server)
{
    server.route("GET", "/control/journal", [this](auto const&) {
        return json_response(journal_.entries());
    });
    server.route("GET", "/control/counters", [this](auto const&) {
        return json_response(counters_.values());
    });
    server.route("POST", "/control/faults",
                 json_handler([this](core::json const& patch) {
                     std::lock_guard const lock(mutex_);
                     faults_.merge_patch(patch);
                     return json_response(faults_);
                 }));
}

core::json control::fault_at(std::string const& pointer) const
{
    std::lock_guard const lock(mutex_);
    core::json::json_pointer const path(pointer);
    return faults_.contains(path) ? faults_.at(path) : core::json();
}

int control::fault_number(std::string const& pointer) const
{
    auto const value = fault_at(pointer);
    if (value.is_boolean())
        return value.get<bool>() ? 1 : 0;
    return value.is_number() ? value.get<int>() : 0;
}

std::string control::fault_text(std::string const& pointer) const
{
    auto const value = fault_at(pointer);
    return value.is_string() ? value.get<std::string>() : "";
}

bool control::consume_fault(std::string const& pointer)
{
    std::lock_guard const lock(mutex_);
    core::json::json_pointer const path(pointer);
    if (!faults_.contains(path) || faults_.at(path).get<int>() <= 0)
        return false;
    faults_.at(path) = faults_.at(path).get<int>() - 1;
    return true;
}

void control::apply_delay(std::string const& section) const
{
    std::this_thread::sleep_for(
        core::duration(fault_number(section + "/delay_ms")));
    while (fault_number(section + "/frozen") != 0)
        std::this_thread::sleep_for(frozen_poll_period);
}

http::http_response json_response(core::json const& document, int status)
{
    return {status, {{"Content-Type", "application/json"}}, document.dump()};
}

http::http_handler
json_handler(std::function<http::http_response(core::json const&)> handler)
{
    return [handler = std::move(handler)](http::http_request const& request) {
        try {
            return handler(core::json::parse(request.body));
        } catch (core::json::exception const& exception) {
            return http::error_response(
                {core::result_code::bad_request, exception.what()});
        }
    };
}

std::unique_ptr<http::http_server> start_server(std::string const& address,
                                                std::size_t thread_count)
{
    http::http_server_options options;
    options.address = address;
    options.thread_count = thread_count;
    auto server = http::http_server::create(options);
    if (core::is_ok(server))
        return core::value(std::move(server));
    std::fprintf(stderr, "%s\n", core::failure(server).message.c_str());
    std::exit(1);
}

void run_until_killed()
{
    while (true)
        pause();
}

} // namespace sequoiaroute::stand_ins
