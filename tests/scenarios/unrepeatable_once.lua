-- Guards against an unrepeatable request that is started twice: because the
-- same id is sent to two entries, the entry or the agent is killed, the answers
-- to the writes of its row are lost, or the table goes down at any step.
local fleet = require("fleet")
local requests = require("requests")

local codes = requests.codes
local state = requests.start({entries = 2, executors = 2})
local first, second = state.entries[1], state.entries[2]
local records = {}

local function submit(entry, id, body, limit_ms)
    local record = requests.submit(state, entry, id, body,
                                   {unrepeatable = true, limit_ms = limit_ms})
    record.is_unrepeatable = true
    records[#records + 1] = record
    return record
end

local function run(entry, id, body, limit_ms)
    return requests.wait_for_answer(submit(entry, id, body, limit_ms))
end

local function starts(id)
    return #requests.executions(state, "execution_started", id)
end

local function expect_unknown(record)
    expect(record.code == codes.outcome_unknown, record.id .. ": " ..
           record.status .. " " .. record.text)
    expect(record.text:find("may have run", 1, true) and
           record.text:find("will not be run again", 1, true),
           "the caller reads what it may rely on: " .. record.text)
end

-- Waits until the row of a request is committed with a state.
local function wait_for_row(id, expected_state)
    eventually(10000, function()
        for _, commit in ipairs(journal("platform", "commit")) do
            for _, write in ipairs(commit.writes) do
                if write.key == "requests/press/" .. id and
                   write.value.value.state == expected_state then
                    return true
                end
            end
        end
    end, "the row of " .. id .. " is " .. expected_state)
end

-- The same id at both entries at once. Some executions take longer than the 1 s
-- after which an entry recovers a row that is still claimed.
local record_pairs = {}
for index = 1, 4 do
    local id = requests.new_id("both")
    local body = "sleep_ms=" .. random(1800) .. " size=" .. random(3000)
    record_pairs[index] = {submit(first, id, body), submit(second, id, body)}
end
for _, pair in ipairs(record_pairs) do
    for _, record in ipairs(pair) do
        requests.wait_for_answer(record)
        expect(record.status == 200, record.id .. ": " .. record.text)
    end
    expect(starts(pair[1].id) == 1, pair[1].id .. " was started " ..
           starts(pair[1].id) .. " times")
end

-- The entry is killed after the dispatch, and the caller retries with the same
-- id at the other entry.
local id = requests.new_id("entry-killed")
local body = "sleep_ms=" .. 1500 + random(1000)
local disconnected = submit(first, id, body)
requests.wait_for_start(state, id)
kill(first.name)
expect(requests.wait_for_answer(disconnected).status == 0,
       "the connection broke")
expect(run(second, id, body).status == 200, "the other entry has the answer")
expect(starts(id) == 1, id .. " was started once")
fleet.start_entry(state, 1)

-- The agent is killed during the execution and restarted.
id = requests.new_id("agent-killed")
body = "sleep_ms=2500"
local interrupted = submit(second, id, body, 5000)
local executor = requests.wait_for_start(state, id).executor
local agent = state.executor_agents[tonumber(executor:match("%d+"))]
kill(agent.name)
fleet.start_agent(state, agent)
requests.wait_for_answer(interrupted)
expect_unknown(interrupted)
expect_unknown(run(second, id, body, 1500))
expect(starts(id) == 1, id .. " was started once")
requests.wait_for_entry(state, 1)
expect_unknown(run(first, id, body, 1500))
expect(starts(id) == 1, id .. " was started once")

-- The row of a request is written three times: for the claim, for the permit to
-- start, and at the finish. The answer to each of these writes in turn is lost,
-- sometimes twice in succession. The delay leaves time to set the fault between
-- two writes.
local delay_ms = 300
local function lose_answers()
    fault("platform", {table = {lose_answers = random(2),
                                lose_answers_prefix = "requests/"}})
end
local function end_faults()
    fault("platform", {table = {lose_answers = 0, delay_ms = 0, down = false}})
end
-- By write: injects the fault, or returns a function that does so later, when
-- the request has been submitted.
local set_lost_answer = {
    claim = function() lose_answers() end,
    permit = function(id)
        fault("platform", {table = {delay_ms = delay_ms}})
        return function()
            wait_for_row(id, "claimed")
            lose_answers()
        end
    end,
    finish = function(id)
        return function()
            requests.wait_for_start(state, id)
            lose_answers()
        end
    end,
}
for _, step in ipairs({"claim", "permit", "finish"}) do
    id = requests.new_id("lost-" .. step)
    local inject_later = set_lost_answer[step](id)
    local record = submit(state.entries[random(2)], id, "sleep_ms=400")
    if inject_later then
        inject_later()
    end
    requests.wait_for_answer(record)
    expect(record.status == 200, id .. ": " .. record.text)
    end_faults()
    expect(run(state.entries[random(2)], id, "sleep_ms=400").status == 200,
           "the same id again gets the answer")
    expect(starts(id) == 1, id .. " was started " .. starts(id) .. " times")
end

-- The table is down before the claim: the request is refused and not run.
local refused = {}
fault("platform", {table = {down = true}})
for index = 1, 3 do
    refused[index] = submit(state.entries[random(2)],
                            requests.new_id("down-before-claim"), "", 8000)
end
for _, record in ipairs(refused) do
    requests.wait_for_answer(record)
    expect(record.code == codes.not_run_store_unavailable, record.text)
end
end_faults()

-- The table goes down between claim and permit: the request is refused and not
-- run.
fault("platform", {table = {delay_ms = delay_ms}})
id = requests.new_id("down-before-permit")
local unpermitted = submit(first, id, "", 12000)
wait_for_row(id, "claimed")
fault("platform", {table = {down = true, delay_ms = 0}})
requests.wait_for_answer(unpermitted)
expect(unpermitted.code == codes.not_run_store_unavailable, unpermitted.text)
refused[#refused + 1] = unpermitted
end_faults()
-- A delayed permit would start one of the refused requests in this time.
sleep_ms(3000)
requests.check_journal(state, records)
for _, record in ipairs(refused) do
    local retried = eventually(8000, function()
        local retry = run(state.entries[random(2)], record.id, record.body)
        return retry.status == 200 and retry
    end, "the refused request runs when it is sent again")
    expect(starts(retried.id) == 1, retried.id .. " was started once")
    record.code = nil
end

-- The permit is written, its answer is lost and the table goes down: no entry
-- knows whether the request may start, so it is never started.
fault("platform", {table = {delay_ms = delay_ms}})
id = requests.new_id("permit-unknown")
local unknown = submit(first, id, "", 12000)
wait_for_row(id, "claimed")
fault("platform", {table = {lose_answers = 1,
                            lose_answers_prefix = "requests/"}})
wait_for_row(id, "started")
fault("platform", {table = {down = true, delay_ms = 0}})
requests.wait_for_answer(unknown)
expect_unknown(unknown)
end_faults()
expect_unknown(eventually(8000, function()
    local retry = run(second, id, "", 1000)
    return retry.code ~= codes.not_run_store_unavailable and retry
end, "the table is back"))

-- The executors do not answer in time: both entries report the same outcome
-- later.
for _, executor in ipairs(state.executors) do
    fault(executor.name, {frozen = true})
end
id = requests.new_id("executor-frozen")
expect_unknown(run(first, id, "", 1500))
expect_unknown(run(second, id, "", 1000))
expect_unknown(requests.query_result(state, second, id, ""))
for _, executor in ipairs(state.executors) do
    fault(executor.name, {frozen = false})
end
requests.wait_for_start(state, id)
requests.check_journal(state, records)
