-- Guards against
--   * a faulty worker that makes good jobs fail instead of being quarantined,
--   * a faulty job that gets good workers quarantined,
--   * a job that can never run but stays in the queue,
--   * a burst of jobs whose declared run times are wrong by a factor of ten,
--   * cancellations that race with the start of a job.
-- All periods have their default values.
local fleet = require("fleet")
local jobs = require("jobs")

local worker_count, accelerators = 6, 8
local state = fleet.start({
    workers = worker_count,
    customers = {"press", "ministry"},
})
local entry_started_ms = now_ms()
jobs.prepare_fleet(state, {
    "customer press priority=10",
    "customer ministry priority=10",
})
local customers = {"press", "ministry"}

local function submit(customer, id, command, options)
    local job = {
        job_id = id, command = command, cores = 1, memory_megabytes = 128,
        accelerators = 1,
    }
    for key, value in pairs(options or {}) do
        job[key] = value
    end
    jobs.submit(state, customer, job)
    return id
end

-- One worker fails every task while jobs of two customers run on all workers.
local faulty_worker = random(worker_count)
fault(state.platform.name, {runtime = {
    [tostring(faulty_worker - 1)] = {fail_all = true}}})
local ids = {}
for index = 1, worker_count * accelerators do
    ids[index] = submit(customers[index % 2 + 1], "work-" .. index,
                        "run_ms=" .. 500 + random(500))
end
local history = jobs.wait_until_ended(state, ids, 30000)
for _, id in ipairs(ids) do
    jobs.check_finished_once(history, id, 1)
end

-- Counts the tasks that were started on a worker, of jobs whose id matches a
-- pattern, since a time.
local function count_starts_on(worker, id_pattern, after_ms)
    local count = 0
    for id, job in pairs(jobs.history(state)) do
        for _, tasks in pairs(job.attempts) do
            for _, task in pairs(tasks) do
                local is_counted = id:find(id_pattern) and
                                   task.worker == worker and
                                   task.started >= (after_ms or 0)
                count = count + (is_counted and 1 or 0)
            end
        end
    end
    return count
end

expect(count_starts_on(faulty_worker, "^work") >= 3,
       "the faulty worker has failed three jobs")

-- The faulty worker is quarantined by now. This gang needs all other workers.
submit("press", "wide-1", "run_ms=500", {
    members = worker_count - 1, accelerators = accelerators, cores = 8})
local after_quarantine_ms = now_ms()
jobs.wait_for_state(state, "wide-1", 10000, "finished")
expect(count_starts_on(faulty_worker, ".", after_quarantine_ms) == 0,
       "a quarantined worker gets no work")

-- A job that fails on every worker ends, and causes no quarantine.
submit("ministry", "fails", "run_ms=100 fail")
jobs.wait_for_state(state, "fails", 15000, "fails_everywhere")
history = jobs.wait_until_ended(state, {"fails"}, 5000)
jobs.check_attempts(history, "fails")
local failed_workers = {}
local count = 0
for _, tasks in pairs(history["fails"].attempts) do
    expect(not failed_workers[tasks[0].worker],
           "each attempt on another worker")
    failed_workers[tasks[0].worker] = true
    count = count + 1
end
expect(count == 3, "three attempts on three workers, not " .. count)
submit("press", "wide-2", "run_ms=500", {
    members = worker_count - 1, accelerators = accelerators, cores = 8})
jobs.wait_for_state(state, "wide-2", 10000, "finished")

-- An entry assumes after 15 s that all agents have reported. From then on it
-- refuses a job that can never run at once and states the reason.
sleep_ms(math.max(0, entry_started_ms + 15500 - now_ms()))
local response = jobs.call_entries(state, "press", "POST", "/v1/jobs", to_json({
    job_id = "giant", kind = "analysis", command = "run_ms=1",
    accelerators = accelerators + 1, within = "worker"}))
expect(response.status >= 400 and response.body:find("job_never_fits") and
       response.body:find(tostring(accelerators + 1)), response.body)
expect(not jobs.history(state)["giant"], "the refused job has no row")

-- A burst of small jobs and two gangs. Every declared run time is wrong by a
-- factor of ten.
ids = {}
for index = 1, 60 do
    local run_ms, declared_seconds = 1000, 10
    if index % 10 == 0 then
        run_ms, declared_seconds = 10000, 1
    end
    ids[#ids + 1] = submit(customers[random(2)], "small-" .. index,
                           "run_ms=" .. run_ms,
                           {declared_run_time_seconds = declared_seconds})
    if index == 20 or index == 40 then
        ids[#ids + 1] = submit("press", "gang-" .. index, "run_ms=1000", {
            members = 4, accelerators = 2, cores = 2,
            declared_run_time_seconds = 10})
    end
end

-- The queue of a customer and single jobs are cancelled while jobs start.
local wave_ids = {}
local cancellations = {}
for index = 1, 40 do
    local id = submit("ministry", "wave-" .. index, "run_ms=300")
    wave_ids[index] = id
    if index % 10 == 0 then
        cancellations[#cancellations + 1] = http_async("DELETE",
            state.entries[1].http_address, "/v1/jobs",
            fleet.authorize(state, "ministry"))
    elseif random(4) == 1 then
        cancellations[#cancellations + 1] = http_async("DELETE",
            state.entries[1].http_address, "/v1/jobs/wave-" .. random(index),
            fleet.authorize(state, "ministry"))
    end
    sleep_ms(random(40))
end
for _, request in ipairs(cancellations) do
    local status, body = wait(request)
    expect(status == 200, "a cancellation: " .. status .. " " .. body)
end

local all_ids = {}
for _, id in ipairs(ids) do
    all_ids[#all_ids + 1] = id
end
for _, id in ipairs(wave_ids) do
    all_ids[#all_ids + 1] = id
end
history = jobs.wait_until_ended(state, all_ids, 40000)
sleep_ms(1000)
history = jobs.history(state)
local finished, cancelled = 0, 0
for _, id in ipairs(all_ids) do
    local rows = history[id].rows
    local last = rows[#rows]
    if last.value.state == "cancelled" then
        cancelled = cancelled + 1
        jobs.check_attempts(history, id)
        for _, tasks in pairs(history[id].attempts) do
            for _, task in pairs(tasks) do
                expect(task.started < last.ms,
                       id .. " was started after it was cancelled")
                expect(task.state ~= "running", id .. " still runs")
            end
        end
    else
        finished = finished + 1
        jobs.check_finished_once(history, id,
                                 id:find("^gang") and 4 or 1)
    end
end
for _, id in ipairs({"gang-20", "gang-40"}) do
    jobs.check_partial_runs(history, id, 4)
end
jobs.check_capacity(history, accelerators)
log(("burst and wave: %d finished, %d cancelled"):format(finished, cancelled))
