-- Submits jobs and checks their rows and tasks, which the journal of the
-- platform stand-in records.

local fleet = require("fleet")

local jobs = {}

-- The longest time that some members of a gang may run without the others after
-- a fault (docs/design.md, section 3.7).
jobs.partial_run_limit_ms = 6000

local final_states = {
    finished = true, failed = true, cancelled = true, rejected = true,
    fails_everywhere = true, outcome_unknown = true,
}

-- Sends a call to the entries in turn until one answers with a status other
-- than 503. Job ids make submissions idempotent, so they can be retried.
-- Returns the status and the body.
function jobs.call_entries(state, customer, method, path, body, limit_ms)
    local headers = fleet.authorize(state, customer)
    local status, answer
    return eventually(limit_ms or 15000, function()
        for _, entry in ipairs(state.entries) do
            status, answer = http(method, entry.http_address, path, headers,
                                  body, 5000)
            if status ~= 0 and status ~= 503 then
                return {status = status, body = answer}
            end
        end
    end, method .. " " .. path .. " is answered")
end

-- Waits until every entry lists all workers, then applies the rules. A rule is
-- a line of the rules file without the comment that names its author.
function jobs.prepare_fleet(state, rules)
    local lines = {}
    for index, rule in ipairs(rules) do
        lines[index] = rule .. " # asked for by Dana Reyes\n"
    end
    for _, entry in ipairs(state.entries) do
        eventually(30000, function()
            local status, body = http("GET", entry.http_address, "/v1/dump",
                                      fleet.authorize(state, "dana"))
            return status == 200 and
                   #json(body).targets == #state.worker_agents
        end, entry.name .. " knows all workers")
    end
    local status, body
    eventually(15000, function()
        status, body = fleet.apply_rules(state, state.entries[1], "dana",
                                         table.concat(lines))
        return status == 200
    end, "the rules are applied")
end

-- Submits a job, a table of its fields, and expects that it is accepted.
function jobs.submit(state, customer, job)
    job.kind = job.kind or "analysis"
    local answer = jobs.call_entries(state, customer, "POST", "/v1/jobs",
                                     to_json(job))
    expect(answer.status == 201, "job " .. job.job_id .. " is accepted: " ..
                                 answer.status .. " " .. answer.body)
end

-- Returns the history of each job, from the journal, by job id:
--   rows: the committed rows in order, each with ms and value
--   attempts: by number, the tasks by member, each with worker, accelerators,
--     started, ended (times in ms) and state
--   attempt_numbers: the numbers of the attempts in ascending order
function jobs.history(state)
    local history = {}
    local function job_history(id)
        history[id] = history[id] or
                      {rows = {}, attempts = {}, attempt_numbers = {}}
        return history[id]
    end
    for _, entry in ipairs(journal(state.platform.name)) do
        if entry.kind == "commit" then
            for _, write in ipairs(entry.writes) do
                local id = write.key:match("^jobs/(.+)$")
                if id then
                    local rows = job_history(id).rows
                    rows[#rows + 1] = {ms = entry.ms, value = write.value.value}
                end
            end
        elseif entry.kind == "task_started" or entry.kind == "task_ended" then
            local id, attempt, member =
                entry.task_id:match("^(.+)%.(%d+)%.(%d+)$")
            attempt, member = tonumber(attempt), tonumber(member)
            local job = job_history(id)
            if not job.attempts[attempt] then
                job.attempts[attempt] = {}
                table.insert(job.attempt_numbers, attempt)
                table.sort(job.attempt_numbers)
            end
            local tasks = job.attempts[attempt]
            if entry.kind == "task_started" then
                expect(not tasks[member], entry.task_id .. " starts once")
                tasks[member] = {worker = entry.worker + 1, started = entry.ms,
                                 accelerators = entry.resources.accelerators}
            else
                tasks[member].ended = entry.ms
                tasks[member].state = entry.state
            end
        end
    end
    return history
end

local function last_row(history, id)
    local rows = history[id] and history[id].rows or {}
    return rows[#rows]
end

-- Waits until the value of the latest committed row of a job satisfies a
-- predicate. Returns the row.
function jobs.wait_for_row(state, id, limit_ms, predicate, message)
    return eventually(limit_ms, function()
        local row = last_row(jobs.history(state), id)
        return row and predicate(row.value) and row
    end, "job " .. id .. ": " .. message)
end

-- Waits until the latest committed row of a job has a state. Returns the row.
function jobs.wait_for_state(state, id, limit_ms, name)
    return jobs.wait_for_row(state, id, limit_ms, function(value)
        return value.state == name
    end, "its row says " .. name)
end

-- Waits until all members of an attempt run, one numbered min_attempt or later
-- if that is given. Returns the number of the attempt and its tasks.
function jobs.wait_until_running(state, id, members, limit_ms, min_attempt)
    local found
    eventually(limit_ms, function()
        local job = jobs.history(state)[id]
        for _, number in ipairs(job and job.attempt_numbers or {}) do
            local running = 0
            for _, task in pairs(job.attempts[number]) do
                running = running + (task.ended and 0 or 1)
            end
            if running == members and number >= (min_attempt or 0) then
                found = {number = number, tasks = job.attempts[number]}
                return true
            end
        end
    end, "all members of job " .. id .. " run")
    return found.number, found.tasks
end

-- Waits until the rows of all given jobs are final and all their tasks have
-- ended. Returns the history.
function jobs.wait_until_ended(state, ids, limit_ms)
    return eventually(limit_ms, function()
        local history = jobs.history(state)
        for _, id in ipairs(ids) do
            local row = last_row(history, id)
            if not row or not final_states[row.value.state] then
                return false
            end
            for _, number in ipairs(history[id].attempt_numbers) do
                for _, task in pairs(history[id].attempts[number]) do
                    if not task.ended then
                        return false
                    end
                end
            end
        end
        return history
    end, "all jobs end")
end

-- Checks that the attempts of a job do not overlap and that exactly one of its
-- rows is final.
function jobs.check_attempts(history, id)
    local job = history[id]
    local previous_end = 0
    for _, number in ipairs(job.attempt_numbers) do
        local last_end_ms = 0
        for member, task in pairs(job.attempts[number]) do
            expect(task.started >= previous_end,
                   ("attempt %d of %s starts %d ms before the previous one " ..
                    "has ended"):format(number, id,
                                        previous_end - task.started))
            last_end_ms = math.max(last_end_ms, task.ended)
        end
        previous_end = last_end_ms
    end
    local final_row_count = 0
    for _, row in ipairs(job.rows) do
        final_row_count = final_row_count +
                          (final_states[row.value.state] and 1 or 0)
    end
    expect(final_row_count == 1,
           id .. " has " .. final_row_count .. " final rows")
end

local function count_finished(tasks)
    local finished = 0
    for _, task in pairs(tasks) do
        finished = finished + (task.state == "finished" and 1 or 0)
    end
    return finished
end

-- Checks that a job finished, and that exactly one of its attempts, the one
-- named in its row, is complete.
function jobs.check_finished_once(history, id, members)
    jobs.check_attempts(history, id)
    local row = last_row(history, id)
    expect(row.value.state == "finished",
           id .. " ended as " .. row.value.state .. ": " .. row.value.reason)
    local complete_attempts = 0
    for _, number in ipairs(history[id].attempt_numbers) do
        if count_finished(history[id].attempts[number]) == members then
            complete_attempts = complete_attempts + 1
            expect(number == row.value.attempt,
                   id .. " finished by the attempt of its row")
        end
    end
    expect(complete_attempts == 1,
           id .. " ran completely " .. complete_attempts .. " times")
end

-- Returns the intervals in which some members of an attempt ran while others
-- had not started or had been stopped. A member that finished still counts as
-- present.
local function partial_runs(tasks, members)
    local changes = {}
    for _, task in pairs(tasks) do
        changes[#changes + 1] = {ms = task.started, running = 1, present = 1}
        changes[#changes + 1] = {ms = task.ended, running = -1,
            present = task.state == "finished" and 0 or -1}
    end
    table.sort(changes, function(left, right) return left.ms < right.ms end)
    local running, present, partial_since_ms = 0, 0, nil
    local runs = {}
    for index, change in ipairs(changes) do
        running = running + change.running
        present = present + change.present
        local next_change = changes[index + 1]
        if not next_change or next_change.ms > change.ms then
            local is_partial = running > 0 and present < members
            if is_partial and not partial_since_ms then
                partial_since_ms = change.ms
            elseif not is_partial and partial_since_ms then
                runs[#runs + 1] = {from = partial_since_ms, to = change.ms}
                partial_since_ms = nil
            end
        end
    end
    return runs
end

-- Checks that no attempt of a gang runs partially for longer than the limit and
-- that an attempt which had started before fault_ms (optional) doesn't run
-- partially later than the limit after it. Returns the longest partial run in
-- milliseconds.
function jobs.check_partial_runs(history, id, members, fault_ms)
    local limit = jobs.partial_run_limit_ms
    local longest_ms = 0
    for _, number in ipairs(history[id].attempt_numbers) do
        local tasks = history[id].attempts[number]
        for _, run in ipairs(partial_runs(tasks, members)) do
            local length_ms = run.to - run.from
            longest_ms = math.max(longest_ms, length_ms)
            expect(length_ms <= limit, ("attempt %d of %s ran partially for " ..
                   "%d ms"):format(number, id, length_ms))
            local ran_at_fault = fault_ms and run.to > fault_ms and
                           jobs.first_start(tasks) < fault_ms
            expect(not ran_at_fault or run.to <= fault_ms + limit,
                   ("attempt %d of %s still ran partially %d ms after the " ..
                    "fault"):format(number, id, run.to - (fault_ms or 0)))
        end
    end
    return longest_ms
end

-- Returns the time of the earliest start among the tasks of an attempt.
function jobs.first_start(tasks)
    local first = math.huge
    for _, task in pairs(tasks) do
        first = math.min(first, task.started)
    end
    return first
end

-- Returns the time of the latest start among the tasks of an attempt.
function jobs.last_start(tasks)
    local last = 0
    for _, task in pairs(tasks) do
        last = math.max(last, task.started)
    end
    return last
end

-- Checks that no worker ever runs tasks that need more accelerators than it
-- has.
function jobs.check_capacity(history, accelerators)
    local changes = {}
    for _, job in pairs(history) do
        for _, tasks in pairs(job.attempts) do
            for _, task in pairs(tasks) do
                local count = task.accelerators
                table.insert(changes, {task.started, count, task.worker})
                table.insert(changes, {task.ended or math.huge, -count,
                                       task.worker})
            end
        end
    end
    -- Within one millisecond, ends sort before starts.
    table.sort(changes, function(left, right)
        if left[1] ~= right[1] then
            return left[1] < right[1]
        end
        return left[2] < right[2]
    end)
    local used = {}
    for _, change in ipairs(changes) do
        local worker = change[3]
        used[worker] = (used[worker] or 0) + change[2]
        expect(used[worker] <= accelerators, "worker " .. worker .. " runs " ..
               "tasks on " .. used[worker] .. " accelerators")
    end
end

-- Returns the index and the record of the entry that holds the decider lease,
-- according to its row in the table; nothing if no entry does.
function jobs.decider(state)
    local _, body = http("GET", state.platform.address,
                         "/table/row?key=decider")
    local row = json(body).value
    for index, entry in ipairs(state.entries) do
        if row and row.value.holder == entry.name then
            return index, entry
        end
    end
end

return jobs
