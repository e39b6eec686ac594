-- Generates load: sends requests at a steady rate while a scenario injects
-- faults, then checks the answers against the journals of the executors.
local fleet = require("fleet")

local load = {}
load.__index = load

local time_limit_ms = 30000
local answer_bytes = 200

-- Creates a load generator. Options: customer; period_ms, the time between two
-- requests; max_run_ms, the longest run time of a request; prefix of the
-- request ids.
function load.create(state, options)
    return setmetatable({
        state = state,
        customer = options.customer or "press",
        period_ms = options.period_ms or 60,
        max_run_ms = options.max_run_ms or 700,
        prefix = options.prefix or "load",
        requests = {},
        next_send_ms = now_ms(),
    }, load)
end

-- Sends one request to an entry without waiting for the answer. Returns its
-- record.
function load:send(entry, run_ms, is_unrepeatable)
    local request = {
        id = self.prefix .. "-" .. #self.requests + 1,
        entry = entry.name,
        is_unrepeatable = is_unrepeatable or false,
        sent_ms = now_ms(),
    }
    request.handle = http_async(
        "POST", entry.http_address, "/v1/requests",
        fleet.authorize(self.state, self.customer, {
            ["Request-Id"] = request.id,
            Service = "proofs",
            Unrepeatable = tostring(request.is_unrepeatable),
            ["Time-Limit-Ms"] = tostring(time_limit_ms),
        }),
        "sleep_ms=" .. run_ms .. " size=" .. answer_bytes,
        time_limit_ms + 5000)
    self.requests[#self.requests + 1] = request
    return request
end

-- Sends requests to random entries for a time, or until should_stop (optional)
-- returns true. One in six is unrepeatable.
function load:run(duration_ms, entries, should_stop)
    local end_ms = now_ms() + duration_ms
    while now_ms() < end_ms do
        if now_ms() >= self.next_send_ms then
            self.next_send_ms = math.max(self.next_send_ms + self.period_ms,
                                         now_ms() - self.period_ms)
            self:send(entries[random(#entries)], random(self.max_run_ms),
                      random(6) == 1)
        end
        if should_stop and should_stop() then
            return
        end
        sleep_ms(5)
    end
end

-- Waits for the outstanding answers.
function load:wait_for_answers()
    for _, request in ipairs(self.requests) do
        if request.handle then
            request.status, request.body, request.headers =
                wait(request.handle)
            request.handle = nil
        end
    end
end

-- Returns the entries of one kind from the journals of all executors, each with
-- the index of its executor.
function load.executions(state, kind)
    local found = {}
    for index, executor in ipairs(state.executors) do
        for _, entry in ipairs(journal(executor.name, kind)) do
            entry.executor = index
            found[#found + 1] = entry
        end
    end
    return found
end

-- Checks that every request got its complete answer and ran exactly once.
-- Requests for which may_be_refused (optional) returns true may instead be
-- refused with a "not run" code; then they must not have run.
function load:check(may_be_refused)
    self:wait_for_answers()
    local started, ended = {}, {}
    for _, entry in ipairs(load.executions(self.state, "execution_started")) do
        started[entry.request_id] = (started[entry.request_id] or 0) + 1
    end
    for _, entry in ipairs(load.executions(self.state, "execution_ended")) do
        ended[entry.request_id] = (ended[entry.request_id] or 0) + 1
    end
    local refused_count = 0
    for _, request in ipairs(self.requests) do
        local text = request.id .. " at " .. request.entry .. ": " ..
                     request.status .. " " .. request.body
        local runs = started[request.id] or 0
        if may_be_refused and may_be_refused(request) and
           request.body:find("not_run") then
            expect(runs == 0, "\"not run\" did not run, " .. text)
            refused_count = refused_count + 1
        else
            expect(request.status == 200, "an answer to " .. text)
            expect(#request.body == answer_bytes and
                   request.body:find("^" .. request.id:gsub("%-", "%%-") ..
                                     " "),
                   "the whole answer to the own request, " .. text)
            expect(runs == 1, runs .. " executions of " .. text)
            expect(ended[request.id] == 1, "one end of " .. text)
        end
    end
    log(#self.requests .. " requests, " .. refused_count ..
        " refused as not run")
end

-- Submits a job of one task that needs one accelerator. Returns the status and
-- the body of the response.
function load.submit_job(state, entry, customer, job_id, run_ms)
    local status, body = http("POST", entry.http_address, "/v1/jobs",
        fleet.authorize(state, customer),
        to_json({job_id = job_id, kind = "scan", cores = 1,
                 memory_megabytes = 1, accelerators = 1,
                 command = "run_ms=" .. run_ms}))
    return status, body
end

-- Returns three counts by job: tasks started, tasks that finished, and tasks
-- that ended otherwise.
function load.count_tasks(state)
    local starts, finishes, other_ends = {}, {}, {}
    for _, entry in ipairs(journal(state.platform.name)) do
        if entry.kind == "task_started" or entry.kind == "task_ended" then
            local job = entry.task_id:match("^(.*)%.%d+%.%d+$")
            local list = entry.kind == "task_started" and starts or
                         entry.state == "finished" and finishes or other_ends
            list[job] = (list[job] or 0) + 1
        end
    end
    return starts, finishes, other_ends
end

return load
