-- Guards against duplicate, overlapping and partial attempts of a gang when the
-- decider is killed after any of its writes, while the table is slow and its
-- answers are lost. All periods have their default values.
local fleet = require("fleet")
local jobs = require("jobs")

local members = 4
local worker_count = 8
local takeover_limit_ms = 2500
local state = fleet.start({entries = 2, workers = worker_count})
jobs.prepare_fleet(state, {"customer press priority=10"})

local function submit(id, run_ms, is_unrepeatable)
    jobs.submit(state, "press", {
        job_id = id,
        command = "run_ms=" .. run_ms .. " output=" .. id,
        members = members, cores = 8, memory_megabytes = 1024,
        accelerators = 8, unrepeatable = is_unrepeatable,
    })
end

-- Kills the decider when the row of a gang enters a state. Returns the index of
-- the killed entry and the time of the kill.
local function kill_decider_at(id, state_name)
    jobs.wait_for_row(state, id, 20000, function(value)
        return value.state == state_name
    end, "its row says " .. state_name)
    local index, entry = jobs.decider(state)
    local killed_ms = now_ms()
    kill(entry.name)
    log(("%s killed at %s of %s"):format(entry.name, state_name, id))
    return index, killed_ms
end

-- Returns the time of the first commit after a time that gives the decider
-- lease to another entry.
local function takeover_ms(killed_name, after_ms)
    for _, commit in ipairs(journal(state.platform.name, "commit")) do
        for _, write in ipairs(commit.writes) do
            if commit.ms >= after_ms and write.key == "decider" and
               write.value.value.holder ~= killed_name then
                return commit.ms
            end
        end
    end
end

local ids, kills = {}, {}
for position, state_name in ipairs({"reserving", "running", "finished"}) do
    local is_unrepeatable = random(2) == 1
    local id = "gang-" .. state_name
    ids[position] = id
    -- The delay lets the kill fall between a write and the step after it.
    fault(state.platform.name, {table = {delay_ms = 20 + random(60)}})
    submit(id, 2500, is_unrepeatable)
    if random(2) == 1 then
        fault(state.platform.name, {table = {
            lose_answers = 1, lose_answers_prefix = "jobs/"}})
    end
    local index, killed_ms = kill_decider_at(id, state_name)
    fault(state.platform.name, {table = {lose_answers = 0, delay_ms = 0}})
    local entry = state.entries[index]
    local acquired_ms = eventually(10000, function()
        return takeover_ms(entry.name, killed_ms)
    end, "another entry takes the lease")
    log(("takeover after %d ms"):format(acquired_ms - killed_ms))
    expect(acquired_ms - killed_ms <= takeover_limit_ms,
           "takeover took " .. acquired_ms - killed_ms .. " ms")
    kills[id] = {ms = killed_ms, is_unrepeatable = is_unrepeatable}
    local history = jobs.wait_until_ended(state, {id}, 20000)
    local row = history[id].rows[#history[id].rows]
    log(("%s ended as %s %d ms after the kill"):format(
        id, row.value.state, row.ms - killed_ms))
    fleet.start_entry(state, index)
    fleet.wait_until_ready(entry.http_address, "/v1/ready")
end

-- Wait for late writes of the restarted entries, which would be faults.
sleep_ms(1500)
local history = jobs.history(state)
for _, id in ipairs(ids) do
    jobs.check_partial_runs(history, id, members, kills[id].ms)
    jobs.check_finished_once(history, id, members)
    if kills[id].is_unrepeatable then
        expect(#history[id].attempt_numbers <= 1,
               id .. " is unrepeatable and started " ..
               #history[id].attempt_numbers .. " times")
    end
end
