-- Guards against a customer whose guaranteed capacity is borrowed by other jobs
-- and not reclaimed in time: the job of the owner of a guarantee must start
-- within 10 s (docs/design.md, section 3.8), although the preempted jobs ignore
-- checkpoint requests, the agent of one of them is frozen, or two owners submit
-- at once. All periods have their default values.
local fleet = require("fleet")
local jobs = require("jobs")

local reclaim_limit_ms = 10000
local worker_count, accelerators = 4, 8
local filler_accelerators = 2
local filler_count = worker_count * accelerators // filler_accelerators
local state = fleet.start({
    workers = worker_count,
    customers = {"press", "ministry", "readers"},
    policy = {weights = random(2) == 1 and "completion" or "fragmentation"},
})
jobs.prepare_fleet(state, {
    "customer press priority=10",
    "customer ministry priority=10",
    "customer readers priority=10",
    "guarantee press cells=1 accelerators=8 within=worker",
    "guarantee ministry cells=1 accelerators=8 within=worker",
})

for index = 1, filler_count do
    jobs.submit(state, "readers", {
        job_id = "filler-" .. index,
        command = "run_ms=600000 ignore_checkpoint",
        cores = 2, memory_megabytes = 1024,
        accelerators = filler_accelerators,
    })
end

-- Waits until at least this many workers use all their accelerators, according
-- to the journal.
local function wait_until_full(min_workers)
    eventually(20000, function()
        local used, full = {}, 0
        for _, job in pairs(jobs.history(state)) do
            for _, tasks in pairs(job.attempts) do
                for _, task in pairs(tasks) do
                    if not task.ended then
                        used[task.worker] = (used[task.worker] or 0) +
                                            task.accelerators
                    end
                end
            end
        end
        for _, count in pairs(used) do
            full = full + (count == accelerators and 1 or 0)
        end
        return full >= min_workers
    end, min_workers .. " workers are full")
end

local submitted_ms = {}

-- Submits a job that needs the whole guarantee of its customer.
local function submit_owner_job(customer, id)
    submitted_ms[id] = now_ms()
    jobs.submit(state, customer, {
        job_id = id, command = "run_ms=1500 output=" .. id,
        cores = 8, memory_megabytes = 1024, accelerators = 8,
        within = "worker",
    })
end

-- Checks that the job of an owner starts in time. Returns its worker.
local function expect_owner_start(id)
    local _, tasks = jobs.wait_until_running(state, id, 1, 25000)
    local waited_ms = tasks[0].started - submitted_ms[id]
    log(id .. " started " .. waited_ms .. " ms after its submission")
    expect(waited_ms <= reclaim_limit_ms,
           id .. " started only " .. waited_ms .. " ms after its submission")
    return tasks[0].worker
end

wait_until_full(worker_count)
submit_owner_job("press", "press-1")
local worker = expect_owner_start("press-1")
jobs.wait_for_state(state, "press-1", 10000, "finished")

-- Both owners submit at once.
wait_until_full(worker_count)
submit_owner_job("press", "press-2")
submit_owner_job("ministry", "ministry-2")
worker = random(2) == 1 and worker or expect_owner_start("press-2")
expect_owner_start("ministry-2")
expect_owner_start("press-2")
jobs.wait_for_state(state, "press-2", 10000, "finished")
jobs.wait_for_state(state, "ministry-2", 10000, "finished")

-- The agent of a worker that was reclaimed before is frozen when the owner
-- submits, or during the grace period of the preempted jobs.
wait_until_full(worker_count)
local agent = state.worker_agents[worker]
if random(2) == 1 then
    freeze(agent.name)
    submit_owner_job("press", "press-3")
else
    submit_owner_job("press", "press-3")
    jobs.wait_for_row(state, "press-3", 5000, function() return true end,
                      "it has a row")
    sleep_ms(random(3000))
    freeze(agent.name)
end
expect_owner_start("press-3")
thaw(agent.name)
jobs.wait_for_state(state, "press-3", 10000, "finished")

local history = jobs.history(state)
jobs.check_capacity(history, accelerators)
for _, id in ipairs({"press-1", "press-2", "ministry-2", "press-3"}) do
    jobs.check_finished_once(history, id, 1)
end
