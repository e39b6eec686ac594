-- Starts stand-ins, agents and entries. Their settings are described in
-- docs/design.md, section 8.3.

local fleet = {}

local ready_timeout_ms = 10000

local function loopback(port)
    return "127.0.0.1:" .. port
end

-- Returns the text of a settings file with a table of values per section.
local function settings_text(sections)
    local lines = {}
    for section, values in pairs(sections) do
        lines[#lines + 1] = "[" .. section .. "]"
        for key, value in pairs(values) do
            lines[#lines + 1] = key .. " = " .. tostring(value)
        end
    end
    return table.concat(lines, "\n") .. "\n"
end

-- Waits until a process answers GET requests with status 200.
function fleet.wait_until_ready(address, path)
    eventually(ready_timeout_ms, function()
        return http("GET", address, path, {}, nil, 1000) == 200
    end, "an answer at " .. address .. path)
end

-- Starts a platform stand-in. Returns a table of its name, its address and
-- runtimes, the addresses of the task runtimes by worker.
function fleet.platform(worker_count, name)
    local platform = {
        name = name or "platform",
        address = loopback(free_port()),
        runtimes = {},
    }
    local first_port = free_port(math.max(worker_count, 1))
    for index = 1, worker_count do
        platform.runtimes[index] = loopback(first_port + index - 1)
    end
    start("platform_stand_in", platform.name, {
        address = platform.address,
        workers = worker_count,
        first_runtime_port = first_port,
    })
    fleet.wait_until_ready(platform.address, "/control/journal")
    return platform
end

-- Starts an executor stand-in. Returns a table of its name and address.
function fleet.executor(name)
    local executor = {name = name, address = loopback(free_port())}
    start("executor_stand_in", name, {address = executor.address})
    fleet.wait_until_ready(executor.address, "/control/journal")
    return executor
end

-- Starts a TCP relay that forwards to an address. Returns a table of its name
-- and address. fault(name, {mode = "swallow"}) sets its mode.
function fleet.relay(name, forward)
    local relay = {name = name, address = loopback(free_port())}
    local control = loopback(free_port())
    start("relay_stand_in", name,
          {address = relay.address, forward = forward, control = control})
    -- Once the relay is up, its control server answers this path with 404.
    eventually(ready_timeout_ms, function()
        return http("GET", control, "/", {}, nil, 1000) == 404
    end, "the relay " .. name)
    return relay
end

-- Generates a key per customer and operator, and the system key, and writes
-- them to files. Returns the keys by name, and the paths of the files.
local function write_keys(options)
    local keys = {customers = {}, operators = {}}
    local files = {}
    for group, names in pairs({
        customers = options.customers or {"press", "ministry"},
        operators = options.operators or {"dana"},
    }) do
        local lines = {}
        for _, name in ipairs(names) do
            keys[group][name] = name .. "-key-" .. random(1000000)
            lines[#lines + 1] = name .. " " .. keys[group][name]
        end
        files[group] = write_file(group .. ".keys",
                                  table.concat(lines, "\n") .. "\n")
    end
    files.system = write_file("system.key",
                              "system-" .. random(1000000) .. "\n")
    return keys, files
end

local function data_centre(state, index)
    return "dc" .. (index - 1) % (state.options.data_centres or 1) + 1
end

-- Returns the union of two tables; entries of the second take precedence.
local function merge(defaults, overrides)
    local result = {}
    for _, values in ipairs({defaults or {}, overrides or {}}) do
        for key, value in pairs(values) do
            result[key] = value
        end
    end
    return result
end

-- Returns the text of a settings file of a process: its own sections and those
-- that all processes of the fleet share.
local function with_common_settings(state, sections)
    sections.platform = {
        table_address = state.platform.address,
        object_store_address = state.platform.address,
    }
    sections.log = {level = state.options.log_level or "info"}
    sections.timing = merge(state.options.timing, sections.timing)
    sections.limits = merge(state.options.limits, sections.limits)
    return settings_text(sections)
end

-- Writes the settings of an entry and starts or restarts it.
function fleet.start_entry(state, index)
    local entry = state.entries[index]
    local peers = {}
    for other, peer in ipairs(state.entries) do
        if other ~= index then
            peers[#peers + 1] = peer.peer_address
        end
    end
    local settings = with_common_settings(state, {
        entry = {
            id = entry.name,
            data_centre = data_centre(state, index),
            http_address = entry.http_address,
            peer_address = entry.peer_address,
            peers = table.concat(peers, ","),
        },
        keys = {
            customers_file = state.key_files.customers,
            operators_file = state.key_files.operators,
            system_file = state.key_files.system,
        },
        policy = state.options.policy,
        timing = state.options.entry_timing,
        limits = state.options.entry_limits,
    })
    start("sequoiaroute", entry.name,
          {"serve", settings = write_file(entry.name .. ".ini", settings)})
end

-- Writes the settings of an agent and starts or restarts it.
function fleet.start_agent(state, agent)
    local entries = {}
    for index, entry in ipairs(state.entries) do
        entries[index] = entry.peer_address
    end
    local settings = with_common_settings(state, {
        agent = {
            id = agent.name,
            kind = agent.kind,
            data_centre = data_centre(state, agent.index),
            -- Three workers per rack, as in section 1.5 of the design.
            rack = "rack" .. (agent.index - 1) // 3 + 1,
            peer_address = agent.peer_address,
            advertised_address = agent.relay and agent.relay.address,
            entries = table.concat(entries, ","),
        },
        [agent.kind] = agent.target,
        keys = {system_file = state.key_files.system},
    })
    start("sequoiaroute-agent", agent.name,
          {settings = write_file(agent.name .. ".ini", settings)})
end

-- Adds an agent to a list and starts it, with its relay if the options ask for
-- one. target holds the settings of its executor or worker.
local function add_agent(state, list, kind, target)
    local index = #list + 1
    list[index] = {
        name = kind .. "-agent-" .. index,
        kind = kind,
        index = index,
        peer_address = loopback(free_port()),
        target = target,
    }
    if state.options.relays or
       (kind == "worker" and (state.options.relayed_workers or {})[index]) then
        local agent = list[index]
        agent.relay = fleet.relay(agent.name .. "-relay", agent.peer_address)
    end
    fleet.start_agent(state, list[index])
end

-- Starts a platform stand-in, entries, executors with their agents, and the
-- agents of workers. Returns the state that the other functions take. Options:
--   entries, executors, workers, data_centres: numbers of each
--   service: the service that the executors offer, "proofs" by default
--   customers, operators: lists of names
--   timing, limits: settings of all processes, by section
--   entry_timing, entry_limits, policy: settings of the entries alone
--   log_level: of all processes
--   cores, memory_megabytes, accelerators: capacity of each worker
--   relays: true puts a relay named "AGENT-relay" in front of every agent
--   relayed_workers: the same for each worker whose index maps to true
function fleet.start(options)
    local state = {
        options = options,
        entries = {},
        executors = {},
        executor_agents = {},
        worker_agents = {},
    }
    state.keys, state.key_files = write_keys(options)
    state.platform = fleet.platform(options.workers or 0)
    for index = 1, options.entries or 1 do
        state.entries[index] = {
            name = "entry-" .. index,
            http_address = loopback(free_port()),
            peer_address = loopback(free_port()),
        }
    end
    for index = 1, #state.entries do
        fleet.start_entry(state, index)
    end
    for index = 1, options.executors or 0 do
        local executor = fleet.executor("executor-" .. index)
        state.executors[index] = executor
        add_agent(state, state.executor_agents, "executor", {
            address = executor.address,
            service = options.service or "proofs",
            slots = 8,
            connections = 64,
        })
    end
    for _, runtime in ipairs(state.platform.runtimes) do
        add_agent(state, state.worker_agents, "worker", {
            runtime_address = runtime,
            cores = options.cores or 64,
            memory_megabytes = options.memory_megabytes or 262144,
            accelerators = options.accelerators or 8,
        })
    end
    return state
end

-- Returns the given request headers and the authorization of a customer or an
-- operator.
function fleet.authorize(state, name, headers)
    local key = state.keys.customers[name] or state.keys.operators[name]
    local result = {Authorization = "Bearer " .. key}
    for header, value in pairs(headers or {}) do
        result[header] = value
    end
    return result
end

-- Replaces the current rules; returns the status and the body of the response.
function fleet.apply_rules(state, entry, operator, text)
    local headers = fleet.authorize(state, operator)
    local _, current = http("GET", entry.http_address, "/v1/rules", headers)
    local ok, rules = pcall(json, current)
    local generation = ok and rules.generation or 0
    return http("PUT", entry.http_address,
                "/v1/rules?generation=" .. generation, headers, text)
end

return fleet
