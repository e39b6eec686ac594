#pragma once

#include "core/clock.hpp"
#include "http/civetweb_client.hpp"
#include "scenarios/process_set.hpp"

#include <cstdint>
#include <filesystem>
#include <future>
#include <map>
#include <random>
#include <string>

#include <lua.hpp>

namespace sequoiaroute::scenarios {

struct scenario_options
{
    std::filesystem::path binaries; ///< the build directory
    std::filesystem::path file;     ///< the Lua file of the scenario
    std::filesystem::path library;  ///< directory of verbs.lua and the modules
    std::uint64_t seed = 0;         ///< seed of the verb random()
    core::duration time_limit{};    ///< for the whole scenario
};

/// Runs one scenario, a test written in Lua, in a Lua state of its own. The
/// functions that a scenario can call are named verbs; README.md lists them.
/// The constructor creates a temporary directory. The destructor removes it and
/// kills the processes that are still running.
class scenario
{
public:
    /// Starts the time limit.
    /// @throws std::runtime_error if the temporary directory cannot be created
    explicit scenario(scenario_options options);
    scenario(scenario const&) = delete;
    scenario& operator=(scenario const&) = delete;
    ~scenario();

    /// Runs the scenario; call it once. On failure the reason and the output of
    /// the processes are printed to standard error.
    /// @return whether the scenario has passed
    bool run();

    /// Aborts all scenarios of this process: they fail at their next verb or
    /// Lua instruction hook. Safe in a signal handler.
    static void interrupt();

private:
    using http_outcome = core::result<http::http_response>;
    /// Implements a verb: reads its arguments from the Lua stack, pushes its
    /// results and returns their number. Throws to raise a Lua error.
    using verb = int (scenario::*)(lua_State*);

    /// The lua_CFunction of a verb; turns an exception into a Lua error.
    template <verb Verb>
    static int call_verb(lua_State* state);
    /// Registers a verb as a global Lua function.
    template <verb Verb>
    void add_verb(char const* name);
    /// The Lua hook that aborts a scenario that runs without calling a verb,
    /// such as an endless loop.
    static void abort_hook(lua_State* state, lua_Debug* activation);

    void add_verbs();
    bool run_file(std::filesystem::path const& file);
    /// @return whether the scenario was interrupted or its time is up
    bool must_abort() const;

    int start(lua_State* state);
    int terminate(lua_State* state);
    int stop(lua_State* state);
    int kill(lua_State* state);
    int process_id(lua_State* state);
    int freeze(lua_State* state);
    int thaw(lua_State* state);
    int send_request(lua_State* state);
    int send_request_async(lua_State* state);
    int wait_for_response(lua_State* state);
    int decode_json(lua_State* state);
    int encode_json(lua_State* state);
    int sleep(lua_State* state);
    int now(lua_State* state);
    int free_port(lua_State* state);
    int random(lua_State* state);
    int write_file(lua_State* state);
    int digest(lua_State* state);
    int log(lua_State* state);

    /// Sends the request that the verbs http and http_async describe in their
    /// arguments.
    std::future<http_outcome> start_request(lua_State* state);
    /// Pushes status, body and headers; without a response status 0, the error
    /// as body and no headers.
    /// @return the number of pushed values
    static int push_http_outcome(lua_State* state, http_outcome const& outcome);

    scenario_options options_;
    core::system_clock clock_;
    core::time_point deadline_;
    std::filesystem::path directory_;
    std::mt19937_64 generator_;
    int next_port_offset_; ///< from the lowest port
    lua_Integer next_handle_ = 1;
    http::civetweb_client client_;
    std::map<lua_Integer, std::future<http_outcome>> pending_requests_;
    process_set processes_;
    lua_State* state_;
};

} // namespace sequoiaroute::scenarios
