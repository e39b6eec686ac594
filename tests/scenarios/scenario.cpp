#include "scenarios/scenario.hpp"

#include "core/identifier.hpp"
#include "scenarios/lua_values.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiaroute::scenarios {

namespace {

/// Lua instructions between two calls of the abort hook.
constexpr int instructions_per_hook = 10'000;
/// A sleeping scenario notices an interrupt after at most this time.
constexpr core::duration maximum_sleep{100};
constexpr int default_http_timeout_ms = 10'000;
/// The ports lie below the ephemeral range, from which the kernel takes the
/// local ports of connections.
constexpr int lowest_port = 20'000;
constexpr int port_range_size = 12'000;
/// Runners with different process ids begin their search this many ports apart.
constexpr int ports_per_process = 64;

std::atomic<bool> interrupt_requested{false};

std::filesystem::path make_temporary_directory()
{
    auto path =
        (std::filesystem::temp_directory_path() / "scenario.XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory");
    return path;
}

bool is_port_free(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int const socket_descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool const is_free =
        bind(socket_descriptor, reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) == 0;
    close(socket_descriptor);
    return is_free;
}

scenario& owning_scenario(lua_State* state)
{
    return **static_cast<scenario**>(lua_getextraspace(state));
}

} // namespace

// lua_error() leaves by longjmp, which skips destructors. Verbs throw instead,
// and only objects with trivial destructors are alive where lua_error() is
// called.
template <scenario::verb Verb>
int scenario::call_verb(lua_State* state)
{
    auto& self = owning_scenario(state);
    try {
        if (!self.must_abort())
            return (self.*Verb)(state);
        lua_pushstring(
            state, "the scenario was interrupted or exceeded its time limit");
    } catch (std::exception const& exception) {
        luaL_where(state, 1);
        lua_pushstring(state, exception.what());
        lua_concat(state, 2);
    }
    return lua_error(state);
}

template <scenario::verb Verb>
void scenario::add_verb(char const* name)
{
    lua_register(state_, name, &scenario::call_verb<Verb>);
}

scenario::scenario(scenario_options options)
    : options_(std::move(options)),
      deadline_(clock_.now() + options_.time_limit),
      directory_(make_temporary_directory()), generator_(options_.seed),
      next_port_offset_(getpid() % (port_range_size / ports_per_process) *
                        ports_per_process),
      processes_(directory_), state_(luaL_newstate())
{
    *static_cast<scenario**>(lua_getextraspace(state_)) = this;
    luaL_openlibs(state_);
    lua_sethook(state_, &scenario::abort_hook, LUA_MASKCOUNT,
                instructions_per_hook);
    add_verbs();
}

scenario::~scenario()
{
    lua_close(state_);
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void scenario::interrupt()
{
    interrupt_requested = true;
}

bool scenario::must_abort() const
{
    return interrupt_requested || clock_.now() >= deadline_;
}

void scenario::abort_hook(lua_State* state, lua_Debug*)
{
    if (owning_scenario(state).must_abort())
        luaL_error(state,
                   "the scenario was interrupted or exceeded its time limit");
}

void scenario::add_verbs()
{
    add_verb<&scenario::start>("start");
    add_verb<&scenario::terminate>("terminate");
    add_verb<&scenario::stop>("stop");
    add_verb<&scenario::kill>("kill");
    add_verb<&scenario::process_id>("process_id");
    add_verb<&scenario::freeze>("freeze");
    add_verb<&scenario::thaw>("thaw");
    add_verb<&scenario::send_request>("http");
    add_verb<&scenario::send_request_async>("http_async");
    add_verb<&scenario::wait_for_response>("wait");
    add_verb<&scenario::decode_json>("json");
    add_verb<&scenario::encode_json>("to_json");
    add_verb<&scenario::sleep>("sleep_ms");
    add_verb<&scenario::now>("now_ms");
    add_verb<&scenario::free_port>("free_port");
    add_verb<&scenario::random>("random");
    add_verb<&scenario::write_file>("write_file");
    add_verb<&scenario::digest>("digest");
    add_verb<&scenario::log>("log");
}

bool scenario::run()
{
    auto const& library = options_.library;
    lua_getglobal(state_, "package");
    lua_pushstring(state_, (library / "?.lua").c_str());
    lua_setfield(state_, -2, "path");
    lua_pop(state_, 1);
    bool has_passed =
        run_file(library / "verbs.lua") && run_file(options_.file);
    if (has_passed && must_abort()) {
        std::fprintf(stderr, "failed: interrupted or time limit exceeded\n");
        has_passed = false;
    }
    for (auto const& name : processes_.reap_unexpected_exits()) {
        std::fprintf(stderr, "process ended by itself: %s\n", name.c_str());
        has_passed = false;
    }
    if (!has_passed)
        processes_.print_output();
    return has_passed;
}

bool scenario::run_file(std::filesystem::path const& file)
{
    lua_getglobal(state_, "debug");
    lua_getfield(state_, -1, "traceback");
    lua_remove(state_, -2);
    int const traceback_index = lua_gettop(state_);
    if (luaL_loadfile(state_, file.c_str()) == LUA_OK &&
        lua_pcall(state_, 0, 0, traceback_index) == LUA_OK) {
        lua_settop(state_, 0);
        return true;
    }
    char const* const reason = lua_tostring(state_, -1);
    std::fprintf(stderr, "failed: %s\n", reason == nullptr ? "" : reason);
    lua_settop(state_, 0);
    return false;
}

int scenario::start(lua_State* state)
{
    auto const binary = string_argument(state, 1);
    auto const name = string_argument(state, 2);
    auto const* const directory =
        binary.ends_with("_stand_in") ? "tests/stand_ins" : "packages/programs";
    std::vector<std::string> arguments{
        (options_.binaries / directory / binary).string()};
    auto const argument_count =
        lua_istable(state, 3) ? static_cast<int>(lua_rawlen(state, 3)) : 0;
    for (int index = 1; index <= argument_count; ++index) {
        lua_rawgeti(state, 3, index);
        arguments.push_back(string_argument(state, lua_gettop(state)));
        lua_pop(state, 1);
    }
    if (lua_istable(state, 3)) {
        lua_pushnil(state);
        while (lua_next(state, 3) != 0) {
            if (lua_type(state, -2) == LUA_TSTRING)
                arguments.push_back(
                    fmt::format("--{}={}", lua_tostring(state, -2),
                                string_argument(state, lua_gettop(state))));
            lua_pop(state, 1);
        }
    }
    processes_.start(name, arguments);
    return 0;
}

int scenario::terminate(lua_State* state)
{
    processes_.terminate(string_argument(state, 1));
    return 0;
}

int scenario::stop(lua_State* state)
{
    lua_pushinteger(state, processes_.stop(string_argument(state, 1)));
    return 1;
}

int scenario::kill(lua_State* state)
{
    processes_.kill(string_argument(state, 1));
    return 0;
}

int scenario::process_id(lua_State* state)
{
    lua_pushinteger(state,
                    processes_.running_process_id(string_argument(state, 1)));
    return 1;
}

int scenario::freeze(lua_State* state)
{
    processes_.freeze(string_argument(state, 1));
    return 0;
}

int scenario::thaw(lua_State* state)
{
    processes_.thaw(string_argument(state, 1));
    return 0;
}

std::future<scenario::http_outcome> scenario::start_request(lua_State* state)
{
    http::http_request request;
    request.method = string_argument(state, 1);
    auto const address = string_argument(state, 2);
    request.path = string_argument(state, 3);
    auto const headers = to_json(state, 4);
    for (auto const& [name, value] : headers.items())
        request.headers[name] =
            value.is_string() ? value.get<std::string>() : value.dump();
    if (!lua_isnoneornil(state, 5))
        request.body = string_argument(state, 5);
    core::duration const timeout(lua_isnoneornil(state, 6)
                                     ? default_http_timeout_ms
                                     : integer_argument(state, 6));
    return std::async(std::launch::async, [this, address, request, timeout] {
        return client_.send(address, request, timeout);
    });
}

int scenario::push_http_outcome(lua_State* state, http_outcome const& outcome)
{
    if (!core::is_ok(outcome)) {
        // Status 0 tells the scenario that there is no response.
        lua_pushinteger(state, 0);
        auto const message =
            fmt::format("{}: {}", core::name(core::code_of(outcome)),
                        core::failure(outcome).message);
        lua_pushlstring(state, message.data(), message.size());
        lua_newtable(state);
        return 3;
    }
    auto const& response = core::value(outcome);
    lua_pushinteger(state, response.status);
    lua_pushlstring(state, response.body.data(), response.body.size());
    push_json(state, core::json(std::map<std::string, std::string>(
                         response.headers.begin(), response.headers.end())));
    return 3;
}

int scenario::send_request(lua_State* state)
{
    return push_http_outcome(state, start_request(state).get());
}

int scenario::send_request_async(lua_State* state)
{
    pending_requests_.emplace(next_handle_, start_request(state));
    lua_pushinteger(state, next_handle_++);
    return 1;
}

int scenario::wait_for_response(lua_State* state)
{
    auto const request = pending_requests_.find(integer_argument(state, 1));
    if (request == pending_requests_.end())
        throw std::runtime_error("no pending request has this handle");
    auto const outcome = request->second.get();
    pending_requests_.erase(request);
    return push_http_outcome(state, outcome);
}

int scenario::decode_json(lua_State* state)
{
    auto const document = core::parse_json(string_argument(state, 1));
    if (!core::is_ok(document))
        throw std::runtime_error(core::failure(document).message);
    push_json(state, core::value(document));
    return 1;
}

int scenario::encode_json(lua_State* state)
{
    auto const document = to_json(state, 1).dump();
    lua_pushlstring(state, document.data(), document.size());
    return 1;
}

int scenario::sleep(lua_State* state)
{
    auto const end = clock_.now() + core::duration(integer_argument(state, 1));
    while (clock_.now() < end && !must_abort())
        std::this_thread::sleep_for(
            std::min(maximum_sleep, end - clock_.now()));
    return 0;
}

int scenario::now(lua_State* state)
{
    lua_pushinteger(state, clock_.now().time_since_epoch().count());
    return 1;
}

// Returns the first of n consecutive free ports. No port is returned twice
// until the search has passed the whole range.
int scenario::free_port(lua_State* state)
{
    auto const count =
        lua_isnoneornil(state, 1) ? 1 : integer_argument(state, 1);
    int consecutive = 0;
    for (int step = 0; step < port_range_size; ++step) {
        int const port = lowest_port + next_port_offset_;
        next_port_offset_ = (next_port_offset_ + 1) % port_range_size;
        consecutive = is_port_free(port) ? consecutive + 1 : 0;
        if (next_port_offset_ == 0)
            consecutive = 0;
        if (consecutive != count)
            continue;
        lua_pushinteger(state, port - consecutive + 1);
        return 1;
    }
    throw std::runtime_error("no free ports");
}

int scenario::random(lua_State* state)
{
    auto const bound = integer_argument(state, 1);
    if (bound < 1)
        throw std::runtime_error("random(n): n must be at least 1");
    auto const offset = generator_() % static_cast<std::uint64_t>(bound);
    lua_pushinteger(state, static_cast<lua_Integer>(offset) + 1);
    return 1;
}

int scenario::write_file(lua_State* state)
{
    auto const path = directory_ / string_argument(state, 1);
    std::ofstream file(path, std::ios::binary);
    file << string_argument(state, 2);
    file.close();
    if (!file)
        throw std::runtime_error("cannot write " + path.string());
    lua_pushstring(state, path.c_str());
    return 1;
}

int scenario::digest(lua_State* state)
{
    auto const digest_text = core::digest(string_argument(state, 1));
    lua_pushlstring(state, digest_text.data(), digest_text.size());
    return 1;
}

int scenario::log(lua_State* state)
{
    std::fprintf(
        stderr, "[%lld] %s\n",
        static_cast<long long>(clock_.now().time_since_epoch().count()),
        string_argument(state, 1).c_str());
    return 0;
}

} // namespace sequoiaroute::scenarios
