-- The demonstration that meta/demo runs: two entries and eleven agents serve
-- two customers while one entry and one agent are killed and restarted. Guards
-- against work that is lost or run twice, as counted in the journals of the
-- stand-ins.
local fleet = require("fleet")

local press, intake = "press-proofs", "manuscript-intake"
local finish_timeout_ms = 90000
local state = fleet.start({
    entries = 2,
    executors = 6,
    workers = 5,
    customers = {press, intake},
})

local accepted = {}
local accepted_count = 0

-- Adds accepted work, a request or a job, to the list to check.
local function record_accepted(kind, id, is_unrepeatable)
    accepted[id] = {kind = kind, is_unrepeatable = is_unrepeatable, starts = 0,
                    ends = 0}
    accepted_count = accepted_count + 1
end

-- Sends a call to the entries in turn until one answers with a status other
-- than 503. Request and job ids make calls idempotent, so they can be retried.
local function call_entries(method, path, headers, body)
    local status, answer
    for _ = 1, 40 do
        for _, entry in ipairs(state.entries) do
            status, answer = http(method, entry.http_address, path, headers,
                                  body, 15000)
            if status ~= 0 and status ~= 503 then
                return status, answer
            end
        end
        sleep_ms(250)
    end
    return status, answer
end

local function send_request(customer, id, body, is_unrepeatable)
    local status, answer = call_entries("POST", "/v1/requests",
        fleet.authorize(state, customer, {
            ["Request-Id"] = id,
            Service = "proofs",
            Unrepeatable = is_unrepeatable and "true" or nil,
        }), body)
    expect(status == 200, "request " .. id .. ": " .. status .. " " .. answer)
    expect(answer:sub(1, #id + 1) == id .. " ",
           "the answer belongs to " .. id)
    record_accepted("request", id, is_unrepeatable)
end

local function submit_job(customer, id, members, is_unrepeatable)
    local status, answer = call_entries("POST", "/v1/jobs",
        fleet.authorize(state, customer), to_json({
            job_id = id,
            kind = members > 1 and "clustering" or "scan",
            command = "run_ms=4000 output=" .. id,
            members = members,
            cores = 4,
            memory_megabytes = 1024,
            accelerators = members > 1 and 4 or 1,
            unrepeatable = is_unrepeatable,
        }))
    expect(status == 201 or status == 200,
           "job " .. id .. ": " .. status .. " " .. answer)
    record_accepted("job", id, is_unrepeatable)
    accepted[id].members = members
    accepted[id].customer = customer
end

local function has_finished(id)
    local status, answer = call_entries("GET", "/v1/jobs/" .. id,
        fleet.authorize(state, accepted[id].customer))
    return status == 200 and json(answer).state == "finished"
end

-- Apply the rules of the example file.
local rules_file = io.open("examples/rules-magnolia.txt")
local rules = rules_file:read("a")
rules_file:close()
eventually(20000, function()
    return fleet.apply_rules(state, state.entries[1], "dana", rules) == 200
end, "the rules are applied")
log("rules are in force")

eventually(20000, function()
    local status, body = http("GET", state.entries[1].http_address, "/v1/dump",
                              fleet.authorize(state, "dana"))
    return status == 200 and #json(body).targets == 11
end, "all eleven agents have reported")
log("eleven agents have reported")

for index = 1, 4 do
    submit_job(index % 2 == 0 and press or intake, "scan-" .. index, 1, false)
end
submit_job(intake, "gang-1", 3, false)
for index = 1, 10 do
    send_request(index % 2 == 0 and press or intake, "proof-" .. index,
                 "sleep_ms=50 size=2000", false)
end
send_request(press, "release-1", "sleep_ms=50", true)

log("killing entry-1 and one executor's agent")
kill(state.entries[1].name)
kill(state.executor_agents[1].name)
for index = 11, 20 do
    send_request(index % 2 == 0 and press or intake, "proof-" .. index,
                 "sleep_ms=50 size=2000", false)
end
submit_job(press, "scan-5", 1, false)
fleet.start_entry(state, 1)
fleet.start_agent(state, state.executor_agents[1])

for id, work in pairs(accepted) do
    if work.kind == "job" then
        eventually(finish_timeout_ms, function() return has_finished(id) end,
                   "job " .. id .. " has finished")
    end
end

-- Counts starts and successful ends in a journal. A job has finished exactly
-- once if each of its members has finished exactly once. A repeatable request
-- may be started more than once but must be answered; an unrepeatable one must
-- be started exactly once.
local function count_journal(entries, kind_of_start, kind_of_end, work_id_of)
    for _, entry in ipairs(entries) do
        local work = accepted[work_id_of(entry)]
        if work and entry.kind == kind_of_start then
            work.starts = work.starts + 1
        elseif work and entry.kind == kind_of_end and
               not entry.failed and
               (not entry.state or entry.state == "finished") then
            work.ends = work.ends + 1
        end
    end
end

for _, executor in ipairs(state.executors) do
    count_journal(journal(executor.name), "execution_started",
                  "execution_ended",
                  function(entry) return entry.request_id or "" end)
end
count_journal(journal("platform"), "task_started", "task_ended", function(entry)
    return (entry.task_id or ""):match("^[%w]+%-%d+") or ""
end)

local finished, lost, doubled = 0, 0, 0
for id, work in pairs(accepted) do
    local expected = work.members or 1
    if work.ends < expected then
        lost = lost + 1
        log("lost: " .. id)
    elseif work.ends > expected or
           work.is_unrepeatable and work.starts > expected then
        doubled = doubled + 1
        log("doubled: " .. id .. ", ended " .. work.ends .. " times")
    else
        finished = finished + 1
    end
end
log(("demo: %d accepted, %d finished exactly once, %d lost, %d doubled")
    :format(accepted_count, finished, lost, doubled))
expect(finished == accepted_count, "every accepted work finished exactly once")
