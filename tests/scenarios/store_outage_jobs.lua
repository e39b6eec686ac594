-- Guards against jobs that are stopped, lost or finished twice because the
-- table is down. The outage of 10 s represents one of an hour: it is longer
-- than the decider lease (2 s), a task lease (5 s) and the time that a gang
-- runs without beats (3 s), none of which may depend on the table. All periods
-- have their default values.
local fleet = require("fleet")
local jobs = require("jobs")

local outage_ms = 10000
local state = fleet.start({entries = 2, workers = 4})
jobs.prepare_fleet(state, {"customer press priority=10"})

local ids, members_of = {}, {}

local function submit(id, members, run_ms)
    jobs.submit(state, "press", {
        job_id = id, command = "run_ms=" .. run_ms .. " output=" .. id,
        members = members, cores = 2, memory_megabytes = 1024,
        accelerators = 2, unrepeatable = random(2) == 1,
    })
    ids[#ids + 1] = id
    members_of[id] = members
end

-- Some jobs end before the outage, some during it and some after it.
for index = 1, 4 do
    submit("single-" .. index, 1, 1000 + random(4) * 3500)
end
submit("gang-short", 3, 5000)
submit("gang-long", 3, 15000)
for _, id in ipairs(ids) do
    eventually(20000, function()
        local job = jobs.history(state)[id]
        local tasks = job and job.attempts[job.attempt_numbers[1]] or {}
        local started = 0
        for _ in pairs(tasks) do
            started = started + 1
        end
        return started == members_of[id]
    end, "all members of " .. id .. " are started")
end

fault(state.platform.name, {table = {down = true}})
local down_ms = now_ms()
local has_killed_entry = random(2) == 1
sleep_ms(1000 + random(3000))
-- The decider cannot be read from the table now, so either entry may be the
-- one.
local index = random(2)
if has_killed_entry then
    kill(state.entries[index].name)
end
local status, body = http("POST", state.entries[3 - index].http_address,
    "/v1/jobs", fleet.authorize(state, "press"),
    to_json({kind = "analysis", command = "run_ms=1", job_id = "refused"}))
expect(status == 503, "a new job is refused during the outage: " .. status)
sleep_ms(down_ms + outage_ms - now_ms())
fault(state.platform.name, {table = {
    down = false, lose_answers = 2, lose_answers_prefix = "jobs/"}})
local up_ms = now_ms()
local history = jobs.wait_until_ended(state, ids, 30000)
if has_killed_entry then
    fleet.start_entry(state, index)
    fleet.wait_until_ready(state.entries[index].http_address, "/v1/ready")
end
-- A repeated report that finishes a job twice would arrive in this time.
sleep_ms(2000)
history = jobs.history(state)
local longest_delay_ms = 0
for _, id in ipairs(ids) do
    jobs.check_finished_once(history, id, members_of[id])
    expect(#history[id].attempt_numbers == 1,
           id .. " went on during the outage, " .. "but has " ..
           #history[id].attempt_numbers .. " attempts")
    local ended = 0
    for _, task in pairs(history[id].attempts[
                             history[id].attempt_numbers[1]]) do
        ended = math.max(ended, task.ended)
    end
    local row = history[id].rows[#history[id].rows]
    if ended > down_ms and ended < up_ms then
        expect(row.ms >= up_ms, id .. " was written during the outage")
        longest_delay_ms = math.max(longest_delay_ms, row.ms - up_ms)
    end
end
expect(not history["refused"], "the refused job has no row and no task")
log(("entry %s; the last finish was written %d ms after the outage"):format(
    has_killed_entry and "killed" or "not killed", longest_delay_ms))
