-- Guards against invalid requests that get the wrong result code, are run, or
-- occupy a slot: with invalid headers and keys, bodies that are too large or
-- too slow, malformed JSON, and all of these while every slot is in use.
local fleet = require("fleet")
local requests = require("requests")

local codes = requests.codes
local slots = 8
local receive_limit_ms = 2000
local state = requests.start({
    entries = 1,
    executors = 2,
    customers = {"press", "stranger"},
    entry_timing = {receive_limit = receive_limit_ms .. "ms"},
    entry_limits = {body_size = "1MB"},
})
local entry = state.entries[1]
local records = {}

local function submit_invalid(name, code, body, options)
    local record = requests.submit(state, entry, requests.new_id(name), body,
                                   options)
    record.name, record.expected_code = name, code
    records[#records + 1] = record
end

local function submit_all_invalid()
    submit_invalid("no-service", codes.bad_request, "", {service = ""})
    submit_invalid("bad-service", codes.bad_request, "", {service = "a/b ?"})
    submit_invalid("unknown-service", codes.no_target_not_run, "",
                   {service = "unknown"})
    submit_invalid("bad-flag", codes.bad_request, "",
                   {headers = {Unrepeatable = "yes"}})
    submit_invalid("bad-limit", codes.bad_request, "",
                   {headers = {["Time-Limit-Ms"] = "soon"}})
    submit_invalid("zero-limit", codes.bad_request, "",
                   {headers = {["Time-Limit-Ms"] = "0"}})
    submit_invalid("bad-id", codes.bad_request, "",
                   {headers = {["Request-Id"] = "../rules/current"}})
    submit_invalid("wrong-key", codes.unauthorized, "",
                   {headers = {Authorization = "Bearer wrong"}})
    submit_invalid("no-key", codes.unauthorized, "",
                   {headers = {Authorization = ""}})
    submit_invalid("no-rule", codes.forbidden, "", {customer = "stranger"})
    submit_invalid("too-large", codes.body_too_large,
                   ("x"):rep(1500000 + random(1000000)))
    -- The Content-Length exceeds the bytes that are sent.
    submit_invalid("slow", codes.client_too_slow, "size=10",
                   {headers = {["Content-Length"] = 1000 + random(1000)}})
end

local function expect_refused(first_index)
    for index = first_index, #records do
        local record = records[index]
        requests.wait_for_answer(record)
        expect(record.code == record.expected_code, record.name .. ": code " ..
               tostring(record.code) .. ", not " .. record.expected_code ..
               ": " .. record.text)
    end
end

for round = 1, 3 do
    local first_index = #records + 1
    submit_all_invalid()
    expect_refused(first_index)
end
for _, document in ipairs({"{", "[1, 2", "", "{\"command\": 1}", "\255\254"}) do
    local status, text = http("POST", entry.http_address, "/v1/jobs",
                              fleet.authorize(state, "press"), document)
    expect(status == 400 and json(text).code == codes.bad_request,
           "malformed JSON: " .. status .. " " .. text)
end
local status, text = http("GET", entry.http_address, "/v1/requests/a/../b",
                          fleet.authorize(state, "press"))
expect(status == 400 or status == 404, "a bad path: " .. status .. " " .. text)
local counts = requests.start_counts(state)
for _, record in ipairs(records) do
    expect(not counts[record.id], record.id .. " did not run")
end

-- Invalid requests don't take slots from valid ones that fill every executor.
local first_index = #records + 1
submit_all_invalid()
local valid_requests = {}
for index = 1, slots * #state.executors do
    valid_requests[index] = requests.submit(state, entry,
                                            requests.new_id("good"),
                                            "sleep_ms=1500 size=1000")
end
eventually(10000, function()
    return #requests.executions(state, "execution_started") -
           #requests.executions(state, "execution_ended") == #valid_requests
end, "every slot is in use at once")
for _, record in ipairs(valid_requests) do
    requests.wait_for_answer(record)
    expect(record.status == 200, record.id .. ": " .. record.text)
end
expect_refused(first_index)
