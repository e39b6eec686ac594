-- Guards against callers that get a partial answer or that of another request:
-- with many concurrent answers out of order, entries that are killed meanwhile,
-- executors that cut answers short, and request ids that are reused.
local fleet = require("fleet")
local requests = require("requests")

local codes = requests.codes
local state = requests.start({entries = 2, executors = 3})
local first, second = state.entries[1], state.entries[2]

-- Many concurrent requests, answered in random order. Two requests each have
-- the same body but different ids.
local submitted = {}
for index = 1, 20 do
    local body = "sleep_ms=" .. random(1500) .. " size=" .. random(200000)
    for _, entry in ipairs(state.entries) do
        submitted[#submitted + 1] = requests.submit(
            state, entry, requests.new_id("many"), body)
    end
end
for _, record in ipairs(submitted) do
    requests.wait_for_answer(record)
    expect(record.status == 200, record.id .. ": " .. record.text)
end

-- The entry is killed before, during and after the answers. A caller whose
-- connection is broken queries the other entry.
local run_ms = 600
for round, delay_ms in ipairs({100, run_ms + 100, 1500}) do
    local killed_index, other = (round - 1) % 2 + 1, round % 2 + 1
    local pending = {}
    local round_start_ms = now_ms()
    for index = 1, 8 do
        local sleep = run_ms - 40 + random(80)
        pending[index] = requests.submit(state, state.entries[killed_index],
                                         requests.new_id("killed"),
                                         "sleep_ms=" .. sleep .. " size=" ..
                                         1000000 + random(1000000))
    end
    for _, record in ipairs(pending) do
        requests.wait_for_start(state, record.id)
    end
    sleep_ms(math.max(0, round_start_ms + delay_ms - random(60) - now_ms()))
    kill(state.entries[killed_index].name)
    local killed_ms = now_ms()
    requests.run_successfully(state, state.entries[other],
                              requests.new_id("next"), "")
    local served_ms = now_ms() - killed_ms
    local broken_count = 0
    for _, record in ipairs(pending) do
        requests.wait_for_answer(record)
        if record.status ~= 200 then
            expect(record.status == 0, record.id .. ": " .. record.text)
            broken_count = broken_count + 1
        end
        requests.wait_for_result(state, state.entries[other], record.id,
                                 record.body, 10000)
        expect(#requests.executions(state, "execution_started", record.id) ==
               1, record.id .. " was not run again to be read")
    end
    log("round " .. round .. ": " .. broken_count ..
        " of 8 connections broke, " .. "the other entry served " ..
        served_ms .. " ms after the kill")
    fleet.start_entry(state, killed_index)
    requests.wait_for_entry(state, killed_index)
end

-- An answer that the executor truncates is never returned as complete.
for index = 1, 6 do
    for _, executor in ipairs(state.executors) do
        fault(executor.name, {truncate = 1 + random(2)})
    end
    local is_unrepeatable = index % 2 == 0
    local record = requests.run(state, state.entries[random(2)],
                                requests.new_id("cut"), "size=5000",
                                {unrepeatable = is_unrepeatable,
                                 limit_ms = 5000})
    expect(record.status ~= 0, "an answer: " .. record.text)
    expect(not requests.is_not_run(record), record.text)
    local starts = #requests.executions(state, "execution_started", record.id)
    expect(starts >= 1, record.id .. " ran")
    expect(not is_unrepeatable or starts == 1 and record.status ~= 200,
           record.id .. " was started " .. starts .. " times: " ..
           record.status)
end
for _, executor in ipairs(state.executors) do
    fault(executor.name, {truncate = 0})
end

-- The same id with another body is refused, while the first request runs and
-- after that.
for _, unrepeatable in ipairs({false, true}) do
    local id = requests.new_id("reused")
    local options = {unrepeatable = unrepeatable}
    local pending = requests.submit(state, first, id, "sleep_ms=800", options)
    requests.wait_for_start(state, id)
    local function expect_reused(entry)
        local record = requests.run(state, entry, id, "another", options)
        expect(record.code == codes.request_id_reused, record.text)
    end
    expect_reused(first)
    requests.wait_for_answer(pending)
    expect(pending.status == 200, pending.text)
    expect_reused(first)
    -- The other entry sees the request only if it is unrepeatable and so has a
    -- row.
    if unrepeatable then
        expect_reused(second)
    end
    expect(#requests.executions(state, "execution_started", id) == 1,
           id .. " was started once")
    requests.wait_for_result(state, second, id, "sleep_ms=800", 10000)
end
