-- Submits urgent requests and checks the answers against the journals of the
-- executors.

local fleet = require("fleet")

local requests = {}

-- An agent reports to its home entry every 5 s, and the home entry announces it
-- to the other entries within 1 s (docs/design.md, section 3.9). The rest is
-- for the start of the processes.
local fleet_ready_timeout_ms = 20000
-- Result codes, as listed in docs/result-codes.md.
requests.codes = {
    bad_request = 100,
    body_too_large = 101,
    unauthorized = 102,
    forbidden = 103,
    request_id_reused = 106,
    client_too_slow = 111,
    overloaded_not_run = 200,
    limit_exceeded_not_run = 201,
    not_run_store_unavailable = 202,
    no_target_not_run = 206,
    outcome_unknown = 300,
}
local lowest_not_run, highest_not_run = 200, 299

-- Customer limits that are too high to refuse the load of a scenario.
local wide_limits = "requests_per_second=10000 concurrent_requests=1000"

local next_id = 0

-- Returns a unique request id.
function requests.new_id(prefix)
    next_id = next_id + 1
    return prefix .. "-" .. next_id .. "-" .. random(1000000)
end

-- Returns the answer that the executor stand-in gives to this id and body.
function requests.expected_answer(id, body)
    local answer = id .. " " .. digest(id .. body)
    local size = tonumber(body:match("size=(%d+)") or 0)
    return answer .. ("."):rep(size - #answer)
end

-- Returns the entries of one kind and, if given, of one request id from the
-- journals of all executors.
function requests.executions(state, kind, id)
    local found = {}
    for _, executor in ipairs(state.executors) do
        for _, entry in ipairs(journal(executor.name, kind)) do
            if not id or entry.request_id == id then
                entry.executor = executor.name
                found[#found + 1] = entry
            end
        end
    end
    return found
end

-- Returns the number of execution starts of each request id.
function requests.start_counts(state)
    local counts = {}
    for _, entry in ipairs(requests.executions(state, "execution_started")) do
        counts[entry.request_id] = (counts[entry.request_id] or 0) + 1
    end
    return counts
end

-- Waits until a request is started. Returns the journal entry of the start.
function requests.wait_for_start(state, id)
    return eventually(10000, function()
        return requests.executions(state, "execution_started", id)[1]
    end, "the execution of " .. id .. " starts")
end

-- Submits a request. Options: customer, service, unrepeatable, limit_ms (sent
-- as Time-Limit-Ms), headers (additional ones). Returns a record for
-- requests.wait_for_answer.
function requests.submit(state, entry, id, body, options)
    options = options or {}
    local limit_ms = options.limit_ms or 30000
    local headers = fleet.authorize(state, options.customer or "press", {
        ["Request-Id"] = id,
        Service = options.service or "proofs",
        Unrepeatable = options.unrepeatable and "true" or "false",
        ["Time-Limit-Ms"] = limit_ms,
    })
    for name, value in pairs(options.headers or {}) do
        headers[name] = value
    end
    -- The entry answers at the time limit at the latest; the rest is a margin
    -- for a busy machine.
    return {
        id = id,
        body = body,
        handle = http_async("POST", entry.http_address, "/v1/requests",
                            headers, body, limit_ms + 10000),
    }
end

-- Adds status, text and result code of the answer to the record. Checks that an
-- answer with status 200 is complete and belongs to this request.
local function check_answer(record, status, text)
    record.status, record.text, record.code = status, text, nil
    if status == 200 then
        expect(text == requests.expected_answer(record.id, record.body),
               record.id .. " gets its whole own answer, not " .. #text ..
               " bytes: " .. text:sub(1, 80))
        record.code = 0
    elseif status ~= 0 then
        record.code = json(text).code
    end
    return record
end

-- Waits for the answer to a submitted request and checks it. Returns the
-- record.
function requests.wait_for_answer(record)
    local status, text = wait(record.handle)
    return check_answer(record, status, text)
end

-- Returns whether the answer says that the request was not run.
function requests.is_not_run(record)
    return record.code and record.code >= lowest_not_run and
           record.code <= highest_not_run
end

-- Submits a request and waits for its answer. Returns the record.
function requests.run(state, entry, id, body, options)
    return requests.wait_for_answer(requests.submit(state, entry, id, body,
                                                    options))
end

-- As requests.run, and expects status 200.
function requests.run_successfully(state, entry, id, body, options)
    local record = requests.run(state, entry, id, body, options)
    expect(record.status == 200, id .. " is answered with 200, not " ..
           record.status .. ": " .. record.text)
    return record
end

-- Queries the result of an earlier request from an entry and checks it. Returns
-- a record.
function requests.query_result(state, entry, id, body, customer)
    local status, text = http("GET", entry.http_address, "/v1/requests/" .. id,
                              fleet.authorize(state, customer or "press"))
    return check_answer({id = id, body = body}, status, text)
end

-- Polls an entry until it returns the answer to an earlier request. Returns the
-- record.
function requests.wait_for_result(state, entry, id, body, limit_ms)
    local record
    eventually(limit_ms, function()
        record = requests.query_result(state, entry, id, body)
        return record.status == 200
    end, entry.name .. " returns the answer of " .. id)
    return record
end

-- Checks that no request that was answered as not run was started, and that no
-- unrepeatable request was started twice. Returns the number of records per
-- result code; -1 stands for records without a code.
function requests.check_journal(state, records)
    local counts = requests.start_counts(state)
    local codes = {}
    for _, record in ipairs(records) do
        local starts = counts[record.id] or 0
        codes[record.code or -1] = (codes[record.code or -1] or 0) + 1
        if requests.is_not_run(record) then
            expect(starts == 0, record.id .. " was answered as " ..
                   record.code .. " (not run), but was started " .. starts ..
                   " times: " .. record.text)
        end
        if record.is_unrepeatable then
            expect(starts <= 1, record.id .. " is unrepeatable, but was " ..
                   "started " .. starts .. " times")
        end
    end
    return codes
end

-- Sends probes to an entry until it has run one on every executor.
function requests.wait_for_targets(state, entry)
    eventually(fleet_ready_timeout_ms, function()
        local id = requests.new_id("probe")
        local probe = requests.run(state, entry, id, "", {limit_ms = 2000})
        if probe.status ~= 200 then
            return false
        end
        local start = requests.executions(state, "execution_started", id)[1]
        entry.reached_executors = entry.reached_executors or {}
        entry.reached_executors[start.executor] = true
        for _, executor in ipairs(state.executors) do
            if not entry.reached_executors[executor.name] then
                return false
            end
        end
        return true
    end, entry.name .. " reaches every executor")
end

-- Starts a fleet, applies rules for the customer press, and waits until every
-- entry reaches every executor. The option more_rules holds further lines of
-- rules; the others are those of fleet.start.
function requests.start(options)
    local state = fleet.start(options)
    local text = "customer press priority=1 # asked for by Dana Reyes\n" ..
                 "limit press " .. wide_limits ..
                 " # asked for by Dana Reyes\n" .. (options.more_rules or "")
    eventually(fleet_ready_timeout_ms, function()
        return fleet.apply_rules(state, state.entries[1], "dana", text) == 200
    end, "the rules are accepted")
    for _, entry in ipairs(state.entries) do
        fleet.wait_until_ready(entry.http_address, "/v1/ready")
        requests.wait_for_targets(state, entry)
    end
    return state
end

-- Waits until a restarted entry reaches every executor.
function requests.wait_for_entry(state, index)
    local entry = state.entries[index]
    entry.reached_executors = nil
    fleet.wait_until_ready(entry.http_address, "/v1/ready")
    requests.wait_for_targets(state, entry)
end

return requests
