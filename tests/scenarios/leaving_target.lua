-- Guards invariant 6: a draining target receives no new work after 5 s, and the
-- work that runs there completes. Targets drain while an entry is frozen, which
-- resumes with a stale view of them; while the entry that received the
-- announcement is killed, which loses it; and while a new entry starts.
local fleet = require("fleet")
local load = require("load")

local new_work_limit_ms = 5000
-- Long enough for the draining agent to be still running when the frozen entry
-- resumes.
local long_run_ms = 8000
local thaw_after_ms = 5500

local state = fleet.start({entries = 2, executors = 6, workers = 3})
local first, second = state.entries[1], state.entries[2]
local requests = load.create(state, {})
local drains = {}

local function is_ready(entry)
    return http("GET", entry.http_address, "/v1/ready", {}, nil, 1000) == 200
end

local function lists_targets(entry, count)
    local status, body = http("GET", entry.http_address, "/v1/dump",
                              fleet.authorize(state, "dana"))
    return status == 200 and #json(body).targets >= count
end

for _, entry in ipairs(state.entries) do
    eventually(10000, function() return lists_targets(entry, 9) end,
               entry.name .. " knows all targets")
end
local status, body = fleet.apply_rules(state, first, "dana",
    "customer press priority=1 # asked for by Dana Reyes\n" ..
    "limit press requests_per_second=2000 concurrent_requests=400 " ..
    "# asked for by Dana Reyes\n")
expect(status == 200, body)
expect(is_ready(first) and is_ready(second), "both entries are ready")

-- Starts the drain of an executor, of a worker, or of both. Returns the time.
local function start_drain(executor, worker)
    local now = now_ms()
    if executor then
        drains[#drains + 1] = {executor = executor, ms = now}
        terminate(state.executor_agents[executor].name)
    end
    if worker then
        drains[#drains + 1] = {worker = worker, ms = now}
        terminate(state.worker_agents[worker].name)
    end
    return now
end

-- Returns whether an executor is running one of the long requests.
local function runs_long_request(executor)
    local ended = {}
    for _, entry in ipairs(journal(state.executors[executor].name,
                                   "execution_ended")) do
        ended[entry.attempt_id] = true
    end
    for _, entry in ipairs(journal(state.executors[executor].name,
                                   "execution_started")) do
        if not ended[entry.attempt_id] and requests.long[entry.request_id] then
            return true
        end
    end
end

requests.long = {}
local function send_long_requests(entry)
    for index = 1, 18 do
        requests.long[requests:send(entry, long_run_ms, index % 4 == 0).id] =
            true
    end
end

local job_count = 0
local function submit_jobs(entry, count, run_ms)
    for _ = 1, count do
        job_count = job_count + 1
        local job_status, answer = load.submit_job(
            state, entry, "press", "scan-" .. job_count, run_ms)
        expect(job_status == 201, answer)
    end
end

-- 1. Stale view: an entry is frozen before the announcement, and work for the
-- draining targets queues at it until it is thawed.
submit_jobs(first, 6, 7000)
requests:run(1000, state.entries)
send_long_requests(second)
local first_busy_executor = eventually(5000, function()
    for executor = 1, 6 do
        if runs_long_request(executor) then
            return executor
        end
    end
end, "a long request")
freeze(first.name)
local drain_started_ms = start_drain(first_busy_executor, 1)
requests:run(thaw_after_ms, {second}, function()
    return now_ms() > drain_started_ms + thaw_after_ms
end)
for _ = 1, 16 do
    requests:send(first, 50)
end
thaw(first.name)
submit_jobs(second, 6, 500)
requests:run(2000, state.entries)

-- 2. Lost announcement: the entry that may have received it is killed at the
-- same moment, and a third entry starts.
requests:wait_for_answers()
send_long_requests(second)
local busy_executors = {}
eventually(5000, function()
    busy_executors = {}
    for executor = 1, 6 do
        if executor ~= first_busy_executor and runs_long_request(executor) then
            busy_executors[#busy_executors + 1] = executor
        end
    end
    return #busy_executors >= 2
end, "long requests at two executors")
requests:run(300, {second})
drain_started_ms = start_drain(busy_executors[1], 2)
start_drain(busy_executors[2])
kill(first.name)
state.entries[3] = {
    name = "entry-3",
    http_address = "127.0.0.1:" .. free_port(),
    peer_address = "127.0.0.1:" .. free_port(),
}
fleet.start_entry(state, 3)
requests:run(6000, {second})
eventually(8000, function() return is_ready(state.entries[3]) end,
           "the new entry is ready")
submit_jobs(second, 4, 300)
requests:run(1500, {second, state.entries[3]})
requests:check()

for _, drain in ipairs(drains) do
    local agent = drain.executor and
                  state.executor_agents[drain.executor] or
                  state.worker_agents[drain.worker]
    expect(stop(agent.name) == 0, agent.name .. " ends gracefully")
end

-- Find the start times per target in the journals.
local starts_at = {}
for _, entry in ipairs(load.executions(state, "execution_started")) do
    local start_times = starts_at[entry.executor] or {}
    starts_at[entry.executor] = start_times
    start_times[#start_times + 1] = entry.ms
end
local task_starts_at = {}
for _, entry in ipairs(journal(state.platform.name, "task_started")) do
    local start_times = task_starts_at[entry.worker + 1] or {}
    task_starts_at[entry.worker + 1] = start_times
    start_times[#start_times + 1] = entry.ms
end
for _, drain in ipairs(drains) do
    local name = drain.executor and "executor " .. drain.executor or
                 "worker " .. drain.worker
    local starts = drain.executor and starts_at[drain.executor] or
                   task_starts_at[drain.worker] or {}
    local last_start_ms = 0
    for _, ms in ipairs(starts) do
        last_start_ms = math.max(last_start_ms, ms)
    end
    log(name .. ": last start " .. last_start_ms - drain.ms ..
        " ms after SIGTERM")
    expect(last_start_ms <= drain.ms + new_work_limit_ms, "no start at " ..
           name .. " " .. last_start_ms - drain.ms ..
           " ms after it began to drain")
end
eventually(15000, function()
    local _, finishes = load.count_tasks(state)
    for index = 1, job_count do
        if not finishes["scan-" .. index] then
            return false
        end
    end
    return true
end, "every job finishes")
local starts, finishes = load.count_tasks(state)
for index = 1, job_count do
    local job = "scan-" .. index
    expect(starts[job] == 1 and finishes[job] == 1, job .. " ran once, started "
           .. tostring(starts[job]) .. " finished " .. tostring(finishes[job]))
end
