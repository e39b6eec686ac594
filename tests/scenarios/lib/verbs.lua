-- Verbs that are written in Lua; loaded before every scenario.

local control_addresses = {}
local start_binary = start

-- Starts a process. Positional options become arguments as they are, named ones
-- become --name=value.
function start(kind, name, options)
    options = options or {}
    start_binary(kind, name, options)
    control_addresses[name] = options.control or options.address
end

-- Fails the scenario, at the line of the caller, unless the condition is true.
function expect(condition, message)
    if not condition then
        error("expected: " .. (message or "a condition"), 2)
    end
    return condition
end

-- Calls a function every 20 ms until it returns a true value, and returns that
-- value. Fails when limit_ms have passed.
function eventually(limit_ms, condition, message)
    local deadline = now_ms() + limit_ms
    repeat
        local value = condition()
        if value then
            return value
        end
        sleep_ms(20)
    until now_ms() > deadline
    error("expected within " .. limit_ms .. " ms: " ..
          (message or "a condition"), 2)
end

-- Merges a table into the faults of a stand-in. Worker indices are strings:
-- fault("platform", {runtime = {["0"] = {frozen = true}}}).
function fault(name, faults)
    local status, body = http("POST", control_addresses[name],
                              "/control/faults", {}, to_json(faults))
    if status ~= 200 then
        error("cannot set faults of " .. name .. ": " .. status .. " " .. body,
              2)
    end
end

-- Returns the entries of a stand-in's journal; with a kind, only those.
function journal(name, kind)
    local status, body = http("GET", control_addresses[name],
                              "/control/journal")
    if status ~= 200 then
        error("cannot read journal of " .. name .. ": " .. status .. " " ..
              body, 2)
    end
    local entries = {}
    for _, entry in ipairs(json(body)) do
        if not kind or entry.kind == kind then
            entries[#entries + 1] = entry
        end
    end
    return entries
end
