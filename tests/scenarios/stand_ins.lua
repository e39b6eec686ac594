-- Tests the runner and the stand-ins, on whose journals all other scenarios
-- rely.
local fleet = require("fleet")

local platform = fleet.platform(2)

local function commit(key, version, value)
    return http("POST", platform.address, "/table/commit", {}, to_json({
        conditions = {{key = key, version = version}},
        writes = {{key = key, value = value}},
    }))
end

local function read(key)
    local status, body = http("GET", platform.address, "/table/row?key=" .. key)
    expect(status == 200, "the row " .. key)
    return json(body)
end

local function start_task(worker, id, command, lease_ms, restore_from)
    local status = http("POST", platform.runtimes[worker], "/tasks", {},
        to_json({task_id = id, customer = "press",
                 resources = {cores = 1, memory_megabytes = 1,
                              accelerators = 1},
                 command = command, restore_from = restore_from or "",
                 lease_ms = lease_ms}))
    expect(status == 200, "task " .. id .. " is started")
end

local function find_task(worker, id)
    local _, body = http("GET", platform.runtimes[worker], "/tasks")
    for _, report in ipairs(json(body).tasks) do
        if report.task_id == id then
            return report
        end
    end
end

local function send_task_command(worker, id, command_name, arguments)
    return http("POST", platform.runtimes[worker],
                "/tasks/" .. id .. "/" .. command_name, {},
                to_json(arguments or {}))
end

local function wait_for_state(worker, id, state)
    eventually(2000, function()
        return find_task(worker, id).state == state
    end, id .. " is " .. state)
end

-- Table: conditions, a lost answer, a dropped commit, stale reads and an
-- outage.
expect(commit("a", 0, {x = 1}) == 200, "a row is created")
expect(commit("a", 0, {x = 2}) == 409, "a wrong version is refused")
local version = read("a").version
fault("platform", {table = {lose_answers = 1, lose_answers_prefix = "jobs/"}})
expect(commit("a", version, {x = 3}) == 200, "another prefix is not affected")
expect(commit("jobs/1", 0, {x = 1}) == 0, "the answer is lost")
expect(read("jobs/1").value.x == 1, "the write took effect")
fault("platform", {table = {drop_before = 1}})
expect(commit("jobs/2", 0, {x = 1}) == 0, "the commit is dropped")
expect(read("jobs/2").version == 0, "the write did not take effect")
fault("platform", {table = {stale_reads = 1}})
expect(read("a").value.x == 1, "the previous version is read")
expect(read("a").value.x == 3, "the current version is read")
fault("platform", {table = {down = true}})
expect(commit("a", 0, {x = 1}) == 503, "the table is down")
fault("platform", {table = {down = false}})
expect(#journal("platform", "commit") == 3, "three commits took effect")

-- Object store.
local object = "/objects/results/jobs/1"
expect(http("GET", platform.address, object) == 404, "no object")
expect(http("PUT", platform.address, object, {}, "bytes") == 200, "put")
local status, bytes = http("GET", platform.address, object)
expect(status == 200 and bytes == "bytes", "the object is read back")

-- Tasks: completion, failure, lease expiry, renewal, throttle, checkpoint, stop
-- and restore.
start_task(1, "ends", "run_ms=100 output=abc", 5000)
start_task(1, "fails", "run_ms=50 fail", 5000)
start_task(2, "expires", "run_ms=60000", 200)
start_task(2, "renewed", "run_ms=60000 checkpoint_ms=50", 200)
send_task_command(2, "renewed", "renew", {lease_ms = 60000})
wait_for_state(1, "ends", "finished")
expect(find_task(1, "ends").output == "abc", "the output of the command")
wait_for_state(1, "fails", "failed")
wait_for_state(2, "expires", "lease_expired")
expect(find_task(2, "renewed").state == "running", "a renewed lease holds")
send_task_command(2, "renewed", "throttle", {percent = 50})
send_task_command(2, "renewed", "checkpoint")
local checkpoint = eventually(2000, function()
    local written = find_task(2, "renewed").checkpoint
    return written ~= "" and written
end, "a checkpoint")
send_task_command(2, "renewed", "stop")
expect(find_task(2, "renewed").state == "stopped", "the task is stopped")
start_task(1, "restored", "run_ms=200", 5000, "renewed@150")
wait_for_state(1, "restored", "finished")
local times = {}
for _, entry in ipairs(journal("platform")) do
    times[entry.kind .. " " .. (entry.task_id or "")] = entry.ms
end
local ran_ms = times["task_ended restored"] - times["task_started restored"]
expect(ran_ms < 150,
       checkpoint .. " restores progress, ran " .. ran_ms .. " ms")
ran_ms = times["task_ended expires"] - times["task_started expires"]
expect(ran_ms >= 200 and ran_ms < 500,
       "the lease ended after " .. ran_ms .. " ms")

-- Task runtime: the faults frozen and fail_all.
fault("platform", {runtime = {["0"] = {frozen = true}}})
expect(http("GET", platform.runtimes[1], "/tasks", {}, nil, 200) == 0,
       "a frozen runtime does not answer")
expect(http("GET", platform.runtimes[2], "/tasks") == 200,
       "the other runtime answers")
fault("platform", {runtime = {["0"] = {frozen = false, fail_all = true}}})
start_task(1, "unlucky", "run_ms=60000", 5000)
wait_for_state(1, "unlucky", "failed")

-- Executor: deterministic answers, limited slots, and faults.
local executor = fleet.executor("executor")
local function execute(id, body)
    return http_async("POST", executor.address, "/execute",
                      {["Request-Id"] = id, ["Attempt-Id"] = id}, body)
end
local status_code, answer = wait(execute("r1", "size=1000"))
expect(status_code == 200 and #answer == 1000,
       "an answer of the size asked for")
expect(answer:find("^r1 "), "the answer names its request")
expect(select(2, wait(execute("r1", "size=1000"))) == answer,
       "the same request gets the same answer")
expect(wait(execute("r2", "fail")) == 500, "a failure")
local handles = {}
for index = 1, 12 do
    handles[index] = execute("many" .. index, "sleep_ms=300")
end
local counts = {[200] = 0, [503] = 0}
for _, handle in ipairs(handles) do
    local result = wait(handle)
    counts[result] = counts[result] + 1
end
expect(counts[200] == 8 and counts[503] == 4, "eight slots")
fault("executor", {truncate = 1, refuse = 1})
expect(wait(execute("r3", "")) == 503, "refused")
status_code, answer = wait(execute("r4", "size=100"))
expect(status_code == 0 and answer:find("^answer_incomplete"),
       "a truncated answer")
expect(wait(execute("r5", "")) == 200, "the faults are used up")
expect(#journal("executor", "execution_started") ==
       #journal("executor", "execution_ended"), "every execution has ended")

-- Relay: existing connections that lose all bytes, and a target that is cut
-- off.
local relay = fleet.relay("relay", executor.address)
local function execute_by_relay(body, limit_ms)
    return http_async("POST", relay.address, "/execute", {}, body, limit_ms)
end
expect(wait(execute_by_relay("")) == 200, "the relay passes")
local silent = execute_by_relay("sleep_ms=300", 1000)
sleep_ms(100)
fault("relay", {mode = "swallow"})
expect(wait(execute_by_relay("")) == 200, "a new connection passes")
expect(wait(silent) == 0, "the answer on the old connection is lost")
local started = #journal("executor", "execution_started")
fault("relay", {mode = "cut"})
expect(wait(execute_by_relay("", 300)) == 0, "no connection passes")
expect(#journal("executor", "execution_started") == started,
       "nothing reached the executor")
fault("relay", {mode = "pass"})
expect(wait(execute_by_relay("")) == 200, "new connections pass again")

-- Processes: freeze, thaw, kill and stop.
freeze("executor")
expect(http("GET", executor.address, "/control/journal", {}, nil, 300) == 0,
       "a frozen process does not answer")
thaw("executor")
expect(http("GET", executor.address, "/control/journal") == 200,
       "a thawed process answers")
kill("executor")
local _, reason = http("GET", executor.address, "/control/journal")
expect(reason:find("^unreachable"), "a killed process is gone: " .. reason)
expect(stop("relay") == 128 + 15, "the relay is ended by SIGTERM")
