-- Guards against connections to agents that lose all bytes without being
-- closed. They must be replaced: new requests are served within seconds and
-- requests in flight get their complete answers, while a connection that is
-- silent only because a request is slow is not replaced.
local requests = require("requests")

-- Section 3.11 of the design: silence is detected after 3 s and confirmed by a
-- ping of at most 1 s on a second connection; connections are probed every 1 s.
local replaced_limit_ms = 5000
-- For the processes of the scenario on a busy machine.
local margin_ms = 1000
local state = requests.start({entries = 1, executors = 2, relays = true})
local entry = state.entries[1]

local function expect_all_answered(records)
    for _, record in ipairs(records) do
        requests.wait_for_answer(record)
        expect(record.status == 200, record.id .. ": " .. record.text)
    end
end

local function starts(id)
    return #requests.executions(state, "execution_started", id)
end

-- A slow request on a connection without other traffic.
local slow_id = requests.new_id("slow")
local start_ms = now_ms()
requests.run_successfully(state, entry, slow_id, "sleep_ms=10000 size=100000")
expect(now_ms() - start_ms >= 10000, "the request was slow")
expect(starts(slow_id) == 1, "the slow request was started once")

-- The fault occurs twice: existing connections lose all bytes, new ones work.
for round = 1, 2 do
    local in_flight = {}
    for index = 1, 6 do
        in_flight[index] = requests.submit(state, entry,
                                           requests.new_id("in-flight"),
                                           "sleep_ms=" .. 500 + random(3000) ..
                                           " size=" .. random(100000),
                                           {unrepeatable = index % 2 == 0})
    end
    for _, record in ipairs(in_flight) do
        requests.wait_for_start(state, record.id)
    end
    for _, agent in ipairs(state.executor_agents) do
        fault(agent.relay.name, {mode = "swallow"})
    end
    local fault_ms = now_ms()
    -- The first request after the fault is lost on an old connection, too.
    local during_fault = requests.submit(state, entry,
                                         requests.new_id("during"), "")
    eventually(replaced_limit_ms + margin_ms, function()
        local record = requests.run(state, entry, requests.new_id("new"), "",
                                    {limit_ms = 1000})
        return record.status == 200
    end, "new requests are served on a new connection")
    local served_ms = now_ms() - fault_ms
    log("round " .. round .. ": served " .. served_ms .. " ms after the fault")
    expect(served_ms <= replaced_limit_ms + margin_ms, "served in time")
    expect_all_answered(in_flight)
    expect_all_answered({during_fault})
    log("round " .. round .. ": all answered " .. now_ms() - fault_ms ..
        " ms after the fault")
    for index, record in ipairs(in_flight) do
        if index % 2 == 0 then
            expect(starts(record.id) == 1, record.id .. " was started " ..
                   starts(record.id) .. " times")
        end
    end
    -- Wait until both agents are in use again before the next round.
    entry.reached_executors = nil
    requests.wait_for_targets(state, entry)
end
