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

constexpr int hook_instructions = 10'000;
constexpr core::duration sleep_step{100};
constexpr int default_http_limit_ms = 10'000;
/// Ports below the range from which the system takes ports of connections.
constexpr int lowest_port = 20'000;
constexpr int port_count = 12'000;
constexpr int ports_per_process = 64;

std::atomic<bool> is_interrupted{false};

std::filesystem::path make_directory()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "scenario.XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary directory");
    return pattern;
}

bool is_port_free(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool const is_free =
        bind(descriptor, reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) == 0;
    close(descriptor);
    return is_free;
}

scenario& scenario_of(lua_State* state)
{
    return **static_cast<scenario**>(lua_getextraspace(state));
}

} // namespace

// Lua reports errors by longjmp, which skips destructors. Verbs throw instead,
// and nothing but trivial objects is alive where lua_error is called.
template <scenario::verb Verb>
int scenario::call(lua_State* state)
{
    auto& self = scenario_of(state);
    try {
        if (!self.has_ended_early())
            return (self.*Verb)(state);
        lua_pushstring(state, "the scenario was interrupted or took too long");
    } catch (std::exception const& exception) {
        luaL_where(state, 1);
        lua_pushstring(state, exception.what());
        lua_concat(state, 2);
    }
    return lua_error(state);
}

template <scenario::verb Verb>
void scenario::add(char const* name)
{
    lua_register(state_, name, &scenario::call<Verb>);
}

scenario::scenario(scenario_options options)
    : options_(std::move(options)),
      deadline_(clock_.now() + options_.time_limit),
      directory_(make_directory()), generator_(options_.seed),
      next_port_(getpid() % (port_count / ports_per_process) *
                 ports_per_process),
      processes_(directory_), state_(luaL_newstate())
{
    *static_cast<scenario**>(lua_getextraspace(state_)) = this;
    luaL_openlibs(state_);
    lua_sethook(state_, &scenario::check_limit, LUA_MASKCOUNT,
                hook_instructions);
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
    is_interrupted = true;
}

bool scenario::has_ended_early() const
{
    return is_interrupted || clock_.now() >= deadline_;
}

void scenario::check_limit(lua_State* state, lua_Debug*)
{
    if (scenario_of(state).has_ended_early())
        luaL_error(state, "the scenario was interrupted or took too long");
}

void scenario::add_verbs()
{
    add<&scenario::start>("start");
    add<&scenario::terminate>("terminate");
    add<&scenario::stop>("stop");
    add<&scenario::kill>("kill");
    add<&scenario::process_id>("process_id");
    add<&scenario::freeze>("freeze");
    add<&scenario::thaw>("thaw");
    add<&scenario::send>("http");
    add<&scenario::send_async>("http_async");
    add<&scenario::wait>("wait");
    add<&scenario::parse>("json");
    add<&scenario::format>("to_json");
    add<&scenario::sleep>("sleep_ms");
    add<&scenario::now>("now_ms");
    add<&scenario::free_port>("free_port");
    add<&scenario::random>("random");
    add<&scenario::write_file>("write_file");
    add<&scenario::digest>("digest");
    add<&scenario::log>("log");
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
    if (has_passed && has_ended_early()) {
        std::fprintf(stderr, "failed: interrupted or took too long\n");
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
    int const handler = lua_gettop(state_);
    if (luaL_loadfile(state_, file.c_str()) == LUA_OK &&
        lua_pcall(state_, 0, 0, handler) == LUA_OK) {
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
    auto const kind = text_argument(state, 1);
    auto const name = text_argument(state, 2);
    auto const* const folder =
        kind.ends_with("_stand_in") ? "tests/stand_ins" : "packages/programs";
    std::vector<std::string> arguments{
        (options_.binaries / folder / kind).string()};
    auto const length =
        lua_istable(state, 3) ? static_cast<int>(lua_rawlen(state, 3)) : 0;
    for (int place = 1; place <= length; ++place) {
        lua_rawgeti(state, 3, place);
        arguments.push_back(text_argument(state, lua_gettop(state)));
        lua_pop(state, 1);
    }
    if (lua_istable(state, 3)) {
        lua_pushnil(state);
        while (lua_next(state, 3) != 0) {
            if (lua_type(state, -2) == LUA_TSTRING)
                arguments.push_back(
                    fmt::format("--{}={}", lua_tostring(state, -2),
                                text_argument(state, lua_gettop(state))));
            lua_pop(state, 1);
        }
    }
    processes_.start(name, arguments);
    return 0;
}

int scenario::terminate(lua_State* state)
{
    processes_.terminate(text_argument(state, 1));
    return 0;
}

int scenario::stop(lua_State* state)
{
    lua_pushinteger(state, processes_.stop(text_argument(state, 1)));
    return 1;
}

int scenario::kill(lua_State* state)
{
    processes_.kill(text_argument(state, 1));
    return 0;
}

int scenario::process_id(lua_State* state)
{
    lua_pushinteger(state, processes_.running(text_argument(state, 1)));
    return 1;
}

int scenario::freeze(lua_State* state)
{
    processes_.freeze(text_argument(state, 1));
    return 0;
}

int scenario::thaw(lua_State* state)
{
    processes_.thaw(text_argument(state, 1));
    return 0;
}

std::future<scenario::answer> scenario::begin_send(lua_State* state)
{
    http::http_request request;
    request.method = text_argument(state, 1);
    auto const address = text_argument(state, 2);
    request.path = text_argument(state, 3);
    auto const headers = to_json(state, 4);
    for (auto const& [name, text] : headers.items())
        request.headers[name] =
            text.is_string() ? text.get<std::string>() : text.dump();
    if (!lua_isnoneornil(state, 5))
        request.body = text_argument(state, 5);
    core::duration const limit(lua_isnoneornil(state, 6)
                                   ? default_http_limit_ms
                                   : integer_argument(state, 6));
    return std::async(std::launch::async, [this, address, request, limit] {
        return client_.send(address, request, limit);
    });
}

// An answer is status, body and headers; without one, the status is 0 and the
// body names the error.
int scenario::push_answer(lua_State* state, answer const& outcome)
{
    if (!core::is_ok(outcome)) {
        lua_pushinteger(state, 0);
        auto const text =
            fmt::format("{}: {}", core::name(core::code_of(outcome)),
                        core::failure(outcome).message);
        lua_pushlstring(state, text.data(), text.size());
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

int scenario::send(lua_State* state)
{
    return push_answer(state, begin_send(state).get());
}

int scenario::send_async(lua_State* state)
{
    pending_.emplace(next_handle_, begin_send(state));
    lua_pushinteger(state, next_handle_++);
    return 1;
}

int scenario::wait(lua_State* state)
{
    auto const found = pending_.find(integer_argument(state, 1));
    if (found == pending_.end())
        throw std::runtime_error("no request has this handle");
    auto const outcome = found->second.get();
    pending_.erase(found);
    return push_answer(state, outcome);
}

int scenario::parse(lua_State* state)
{
    auto const document = core::parse_json(text_argument(state, 1));
    if (!core::is_ok(document))
        throw std::runtime_error(core::failure(document).message);
    push_json(state, core::value(document));
    return 1;
}

int scenario::format(lua_State* state)
{
    auto const text = to_json(state, 1).dump();
    lua_pushlstring(state, text.data(), text.size());
    return 1;
}

int scenario::sleep(lua_State* state)
{
    auto const end = clock_.now() + core::duration(integer_argument(state, 1));
    while (clock_.now() < end && !has_ended_early())
        std::this_thread::sleep_for(std::min(sleep_step, end - clock_.now()));
    return 0;
}

int scenario::now(lua_State* state)
{
    lua_pushinteger(state, clock_.now().time_since_epoch().count());
    return 1;
}

// free_port(n) returns the first of n ports in a row; no port is returned
// twice.
int scenario::free_port(lua_State* state)
{
    auto const wanted =
        lua_isnoneornil(state, 1) ? 1 : integer_argument(state, 1);
    int length = 0;
    for (int tried = 0; tried < port_count; ++tried) {
        int const port = lowest_port + next_port_;
        next_port_ = (next_port_ + 1) % port_count;
        length = is_port_free(port) ? length + 1 : 0;
        if (next_port_ == 0)
            length = 0;
        if (length != wanted)
            continue;
        lua_pushinteger(state, port - length + 1);
        return 1;
    }
    throw std::runtime_error("no port is free");
}

int scenario::random(lua_State* state)
{
    auto const bound = integer_argument(state, 1);
    if (bound < 1)
        throw std::runtime_error("random(n) needs n of at least 1");
    auto const drawn = generator_() % static_cast<std::uint64_t>(bound);
    lua_pushinteger(state, static_cast<lua_Integer>(drawn) + 1);
    return 1;
}

int scenario::write_file(lua_State* state)
{
    auto const path = directory_ / text_argument(state, 1);
    std::ofstream file(path, std::ios::binary);
    file << text_argument(state, 2);
    file.close();
    if (!file)
        throw std::runtime_error("cannot write " + path.string());
    lua_pushstring(state, path.c_str());
    return 1;
}

int scenario::digest(lua_State* state)
{
    auto const text = core::digest(text_argument(state, 1));
    lua_pushlstring(state, text.data(), text.size());
    return 1;
}

int scenario::log(lua_State* state)
{
    std::fprintf(
        stderr, "[%lld] %s\n",
        static_cast<long long>(clock_.now().time_since_epoch().count()),
        text_argument(state, 1).c_str());
    return 0;
}

} // namespace sequoiaroute::scenarios
