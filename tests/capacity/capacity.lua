-- Measures the resource use of entries, agents and the table with a given
-- number of agents, first idle, then under a light load. Reads /proc and the
-- counters of the processes. Prints one line per role and load. meta/capacity
-- runs this scenario for several numbers of agents.
local fleet = require("fleet")
local load = require("load")

local agent_count = tonumber(os.getenv("CAPACITY_AGENTS") or "11")
local window_ms = tonumber(os.getenv("CAPACITY_WINDOW_MS") or "20000")
local executor_count = 5
local ticks_per_second = 100 -- unit of the CPU times in /proc/PID/stat
local tasks_per_worker = 2
local request_period_ms = 200

local worker_count = agent_count - executor_count
local state = fleet.start({entries = 2, executors = executor_count,
                           workers = worker_count, log_level = "warning"})

-- Returns the number of targets that an entry lists, 0 if it does not answer.
local function known_target_count(entry)
    local status, body = http("GET", entry.http_address, "/v1/dump",
                              fleet.authorize(state, "dana"))
    return status == 200 and #json(body).targets or 0
end

for _, entry in ipairs(state.entries) do
    eventually(40000, function()
        return known_target_count(entry) == agent_count
    end, entry.name .. " knows all targets")
end
local status, body = fleet.apply_rules(state, state.entries[1], "dana",
    "customer press priority=1 # asked for by Dana Reyes\n" ..
    "limit press requests_per_second=1000 concurrent_requests=400 " ..
    "# asked for by Dana Reyes\n")
expect(status == 200, body)

-- Returns the CPU time in ticks, the resident memory and the number of threads
-- of a process.
local function process_usage(name)
    local process = process_id(name)
    local stat = io.open("/proc/" .. process .. "/stat"):read("a")
    -- The fields after the command name, which is in parentheses.
    local fields = {}
    for field in stat:match("%) (.*)$"):gmatch("%S+") do
        fields[#fields + 1] = field
    end
    local text = io.open("/proc/" .. process .. "/status"):read("a")
    return {
        -- User and system time.
        ticks = tonumber(fields[12]) + tonumber(fields[13]),
        kilobytes = tonumber(text:match("VmRSS:%s+(%d+)")),
        threads = tonumber(text:match("Threads:%s+(%d+)")),
    }
end

-- Returns the name of the entry that last took the decider lease, according to
-- the commits of the table.
local function decider_name()
    local holder
    for _, entry in ipairs(journal(state.platform.name, "commit")) do
        for _, write in ipairs(entry.writes) do
            if write.key == "decider" then
                holder = write.value.value.holder
            end
        end
    end
    return holder
end

-- Returns the numbers of bytes that an entry sent to and received from other
-- processes of the system.
local function entry_bytes(entry)
    local _, text = http("GET", entry.http_address, "/v1/counters",
                         fleet.authorize(state, "dana"))
    local values = json(text)
    return values["peers.bytes_sent"] or 0, values["peers.bytes_received"] or 0
end

-- Returns the time and the current counters of all processes and the table.
local function take_sample()
    local sample = {ms = now_ms(), usage = {}, sent = {}, received = {}}
    local groups = {state.executor_agents, state.worker_agents, state.entries}
    for _, group in ipairs(groups) do
        for _, process in ipairs(group) do
            sample.usage[process.name] = process_usage(process.name)
        end
    end
    for _, entry in ipairs(state.entries) do
        sample.sent[entry.name], sample.received[entry.name] =
            entry_bytes(entry)
    end
    local _, text = http("GET", state.platform.address, "/control/counters")
    sample.table = json(text)
    return sample
end

-- Prints the use of a group of processes with the same role between two
-- samples.
local function print_group(label, role, group, first, last)
    local seconds = (last.ms - first.ms) / 1000
    local total, highest, kilobytes, threads = 0, 0, 0, 0
    for _, process in ipairs(group) do
        local before = first.usage[process.name]
        local after = last.usage[process.name]
        local share = (after.ticks - before.ticks) / ticks_per_second / seconds
        total = total + share
        highest = math.max(highest, share)
        kilobytes = math.max(kilobytes, after.kilobytes)
        threads = math.max(threads, after.threads)
    end
    local line = string.format(
        "%s role=%s count=%d cpu_mean=%.3f%% cpu_max=%.3f%% " ..
        "memory_max_mb=%.1f threads_max=%d",
        label, role, #group, 100 * total / #group, 100 * highest,
        kilobytes / 1024, threads)
    local first_entry = group[1]
    if first.sent[first_entry.name] then
        line = line .. string.format(
            " sent_bytes_per_s=%.0f received_bytes_per_s=%.0f",
            (last.sent[first_entry.name] - first.sent[first_entry.name]) /
                seconds,
            (last.received[first_entry.name] -
             first.received[first_entry.name]) / seconds)
    end
    log(line)
end

-- Prints the use of all processes and of the table between two samples.
local function print_window(load_name, first, last)
    local label = "agents=" .. agent_count .. " load=" .. load_name
    local seconds = (last.ms - first.ms) / 1000
    local holder = decider_name()
    for _, entry in ipairs(state.entries) do
        print_group(label, entry.name == holder and "deciding_entry" or "entry",
                    {entry}, first, last)
    end
    print_group(label, "executor_agent", state.executor_agents, first, last)
    print_group(label, "worker_agent", state.worker_agents, first, last)
    local rates = {}
    for _, name in ipairs({"reads", "scans", "scanned_rows", "commits"}) do
        local key = "table." .. name
        rates[#rates + 1] = string.format("%s_per_s=%.2f", name,
            ((last.table[key] or 0) - (first.table[key] or 0)) / seconds)
    end
    log(label .. " role=table " .. table.concat(rates, " "))
end

-- Excludes the first reports and the distribution of the rules from the idle
-- state.
sleep_ms(6000)
local first = take_sample()
sleep_ms(window_ms)
print_window("idle", first, take_sample())

local requests = load.create(state, {period_ms = request_period_ms})
for index = 1, worker_count * tasks_per_worker do
    local entry = state.entries[index % #state.entries + 1]
    local code, answer = load.submit_job(state, entry, "press",
                                         "scan-" .. index, 10 * window_ms)
    expect(code == 201, answer)
end
eventually(60000, function()
    return #journal(state.platform.name, "task_started") >=
           worker_count * tasks_per_worker
end, "all tasks run")
-- Excludes the first requests from the light load.
requests:run(2000, state.entries)
first = take_sample()
requests:run(window_ms, state.entries)
print_window("light", first, take_sample())
requests:check()
