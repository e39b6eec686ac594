-- Guards against a request that is answered as "not run" but has run, or runs
-- later: when executors refuse it, its agent is frozen, its deadline passes,
-- the entry is overloaded, a customer limit is exceeded, or a relay loses the
-- dispatch or the answer to it.
local fleet = require("fleet")
local requests = require("requests")

local codes = requests.codes
local state = requests.start({
    entries = 2,
    executors = 2,
    relays = true,
    more_rules = "customer ministry priority=1 # asked for by Ida Toth\n" ..
                 "limit ministry requests_per_second=4 " ..
                 "# asked for by Ida Toth\n",
})
local records = {}

-- Submits requests alternately to both entries; about half are unrepeatable.
local function burst(name, count, body, options)
    local group = {}
    for index = 1, count do
        local request_options = {unrepeatable = random(2) == 1}
        for key, value in pairs(options or {}) do
            request_options[key] = value
        end
        local text = type(body) == "function" and body() or body
        local record = requests.submit(state, state.entries[index % 2 + 1],
                                       requests.new_id(name), text,
                                       request_options)
        record.is_unrepeatable = request_options.unrepeatable
        group[index] = record
        records[#records + 1] = record
    end
    return group
end

-- Waits for the answers of a group and checks them against the journals.
-- Returns the number of requests that were not run, and the counts by result
-- code.
local function wait_for_all(group)
    local not_run = 0
    for _, record in ipairs(group) do
        requests.wait_for_answer(record)
        expect(record.status ~= 0, record.id .. ": " .. record.text)
        if requests.is_not_run(record) then
            not_run = not_run + 1
        end
    end
    local counts = requests.check_journal(state, group)
    log(group[1].id .. ": not run " .. not_run .. " of " .. #group .. " " ..
        to_json((function()
            local counts_by_name = {}
            for code, count in pairs(counts) do
                counts_by_name[tostring(code)] = count
            end
            return counts_by_name
        end)()))
    return not_run, counts
end

local function set_executor_faults(faults)
    for _, executor in ipairs(state.executors) do
        fault(executor.name, faults)
    end
end

local function for_each_agent(action)
    for _, agent in ipairs(state.executor_agents) do
        action(agent)
    end
end

-- The executors refuse every request until its deadline.
set_executor_faults({refuse = 1000})
local group = burst("refused", 8, "", {limit_ms = 1500})
expect(wait_for_all(group) > 0, "some were refused as not run")
-- A request whose attempt is still open at the deadline may be answered as
-- outcome unknown instead.
for _, record in ipairs(group) do
    expect(record.status ~= 200, record.id .. " cannot have an answer")
    expect(#requests.executions(state, "execution_started", record.id) == 0,
           record.id .. " was refused by the executors")
end
set_executor_faults({refuse = 0})

-- More requests than slots and queues can hold; then a customer that exceeds
-- its own limit.
group = burst("overload", 120, function()
    return "sleep_ms=" .. 2000 + random(500)
end, {limit_ms = 6000})
local _, counts = wait_for_all(group)
expect((counts[codes.overloaded_not_run] or 0) > 0, "some were refused early")
local over_limit = burst("limited", 20, "", {customer = "ministry"})
_, counts = wait_for_all(over_limit)
expect((counts[codes.limit_exceeded_not_run] or 0) > 0, "a limit is reached")

-- The agents are frozen when the requests arrive and thawed around the
-- deadline.
for round = 1, 2 do
    local limit_ms = 1500
    for_each_agent(function(agent) freeze(agent.name) end)
    group = burst("frozen", 10, "sleep_ms=200", {limit_ms = limit_ms})
    sleep_ms(limit_ms - 700 + random(900))
    for_each_agent(function(agent) thaw(agent.name) end)
    wait_for_all(group)
end

-- The relays start to lose all bytes at random moments, so that dispatches or
-- the answers to them are lost while the agents run on.
for round = 1, 2 do
    group = burst("swallowed", 8, function()
        return "sleep_ms=" .. random(1500)
    end, {limit_ms = 4000})
    sleep_ms(random(500))
    for_each_agent(function(agent)
        fault(agent.relay.name, {mode = "swallow"})
    end)
    local submitted_after = burst("after", 4, "", {limit_ms = 4000})
    wait_for_all(group)
    wait_for_all(submitted_after)
end

-- All connections to the agents are cut, and new ones work again later.
for_each_agent(function(agent) fault(agent.relay.name, {mode = "cut"}) end)
group = burst("cut", 6, "", {limit_ms = 2500})
wait_for_all(group)
for_each_agent(function(agent) fault(agent.relay.name, {mode = "pass"}) end)

-- Nothing that was answered as not run may start after the faults either.
sleep_ms(4000)
requests.check_journal(state, records)
