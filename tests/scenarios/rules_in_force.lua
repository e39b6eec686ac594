-- Guards invariant 8: accepted rules are in force at all entries within 8 s,
-- and no entry reverts to older ones. Only some generations of the rules allow
-- the customer ministry, so whether an entry accepts its requests shows which
-- rules the entry applies.
local fleet = require("fleet")

local in_force_limit_ms = 8000
local state = fleet.start({entries = 3, executors = 2, workers = 2})
local newest_generation = {}
local generation = 0
local slowest_ms = 0

local function text(allows_ministry, note)
    local lines = "customer press priority=1 # asked for by " .. note .. "\n"
    if allows_ministry then
        lines = lines .. "customer ministry priority=2 # asked for by Ida\n"
    end
    return lines
end

local function put_async(entry, base, content)
    return http_async("PUT", entry.http_address, "/v1/rules?generation=" ..
                      base, fleet.authorize(state, "dana"), content, 20000)
end

-- Returns the generation and the text of the rules that an entry serves. The
-- generation must not decrease, not even over a restart; 0 means that the entry
-- has no rules yet.
local function served_rules(entry)
    local status, body = http("GET", entry.http_address, "/v1/rules",
                              fleet.authorize(state, "dana"), nil, 1000)
    if status ~= 200 then
        return 0
    end
    local rules = json(body)
    local before = newest_generation[entry.name] or 0
    expect(rules.generation >= before or rules.generation == 0,
           entry.name .. " went back from generation " .. before .. " to " ..
           rules.generation)
    newest_generation[entry.name] = math.max(before, rules.generation)
    return rules.generation, rules.text
end

-- Returns the commits of rules in the journal, in order.
local function rules_commits()
    local found = {}
    for _, entry in ipairs(journal(state.platform.name, "commit")) do
        for _, write in ipairs(entry.writes) do
            if write.key == "rules/current" then
                found[#found + 1] = {ms = entry.ms, rules = write.value.value}
            end
        end
    end
    return found
end

-- Sends a request of the customer ministry to an entry. Returns a handle.
local function probe_async(entry)
    return http_async("POST", entry.http_address, "/v1/requests",
                      fleet.authorize(state, "ministry", {Service = "proofs"}),
                      "sleep_ms=1", 10000)
end

local function probe(entry)
    return wait(probe_async(entry))
end

-- Waits until all given entries serve a generation, at most until 8 s after its
-- commit.
local function wait_until_all_serve(expected_generation, entries, committed_ms)
    while true do
        local missing_entry
        for _, entry in ipairs(entries) do
            if served_rules(entry) ~= expected_generation then
                missing_entry = entry.name
            end
        end
        local elapsed_ms = now_ms() - committed_ms
        if not missing_entry then
            slowest_ms = math.max(slowest_ms, elapsed_ms)
            return
        end
        expect(elapsed_ms <= in_force_limit_ms, missing_entry ..
               " does not serve " .. "generation " .. expected_generation ..
               " " .. elapsed_ms .. " ms after its commit")
        sleep_ms(20)
    end
end

eventually(10000, function()
    for _, entry in ipairs(state.entries) do
        if http("GET", entry.http_address, "/v1/ready", {}, nil,
                1000) ~= 503 then
            return false
        end
    end
    return true
end, "the entries answer, without rules")

-- 1. Concurrent edits at all entries, in some rounds with a lost answer: one is
-- accepted, the others are refused as conflicts.
for round = 1, 4 do
    if random(2) == 1 then
        fault("platform", {table = {lose_answers = 1,
                                    lose_answers_prefix = "rules/"}})
    end
    local handles, texts = {}, {}
    for index, entry in ipairs(state.entries) do
        texts[index] = text(true, "editor-" .. index .. "-" .. round)
        handles[index] = put_async(entry, generation, texts[index])
    end
    local winner
    for index, handle in ipairs(handles) do
        local status, body = wait(handle)
        expect(status == 200 or status == 409, "editor " .. index .. ": " ..
               status .. " " .. body)
        if status == 200 then
            expect(not winner, "only one editor is accepted")
            winner = index
            expect(json(body).generation == generation + 1, body)
        end
    end
    expect(winner, "one editor is accepted")
    generation = generation + 1
    local written_commits = rules_commits()
    expect(#written_commits == generation,
           #written_commits .. " commits, not " .. generation)
    expect(written_commits[generation].rules.text == texts[winner],
           "the accepted text was written")
    wait_until_all_serve(generation, state.entries,
                         written_commits[generation].ms)
    local _, in_force = served_rules(state.entries[random(3)])
    expect(in_force == texts[winner], "the accepted text is in force")
end
for _, entry in ipairs(state.entries) do
    eventually(in_force_limit_ms, function() return probe(entry) == 200 end,
               entry.name .. " serves customer ministry")
end

-- 2. The table returns stale rows to entries that already have newer rules.
fault("platform", {table = {stale_reads = 20}})
local stale_end_ms = now_ms() + 2000
while now_ms() < stale_end_ms do
    for _, entry in ipairs(state.entries) do
        expect(served_rules(entry) == generation, entry.name .. " stays")
    end
end
fault("platform", {table = {stale_reads = 0}})

-- 3. One entry is frozen and one has been killed when the rules change. Both
-- return after the limit, when the table returns stale rows with the older
-- rules.
local entry_order = {1, 2, 3}
for position = 3, 2, -1 do
    local other = random(position)
    entry_order[position], entry_order[other] =
        entry_order[other], entry_order[position]
end
local editor = state.entries[entry_order[1]]
local frozen = state.entries[entry_order[2]]
local killed = state.entries[entry_order[3]]
freeze(frozen.name)
kill(killed.name)
local edit = put_async(editor, generation, text(false, "Dana Reyes"))
generation = generation + 1
local committed_ms = eventually(5000, function()
    local written_commits = rules_commits()
    return written_commits[generation] and written_commits[generation].ms
end, "the write of the rules")
wait_until_all_serve(generation, {editor}, committed_ms)
expect(probe(editor) == 403, "customer ministry is not served any more")
sleep_ms(committed_ms + in_force_limit_ms + 200 - now_ms())
fault("platform", {table = {stale_reads = 40}})
local late_requests = {}
for index = 1, 6 do
    late_requests[index] = probe_async(frozen)
end
thaw(frozen.name)
fleet.start_entry(state, entry_order[3])
local watch_end_ms = now_ms() + 4000
while now_ms() < watch_end_ms do
    for _, entry in ipairs({frozen, killed}) do
        local status = probe(entry)
        expect(status ~= 200, entry.name .. " serves customer ministry " ..
               now_ms() - committed_ms .. " ms after the rules forbade it")
        served_rules(entry)
    end
end
for _, handle in ipairs(late_requests) do
    expect(wait(handle) ~= 200, "a request that waited at the frozen entry")
end
expect(wait(edit) == 200, "the edit is accepted")
fault("platform", {table = {stale_reads = 0}})
for _, executor in ipairs(state.executors) do
    for _, entry in ipairs(journal(executor.name, "execution_started")) do
        expect(entry.customer ~= "ministry" or
               entry.ms <= committed_ms + in_force_limit_ms,
               "an execution for customer ministry " ..
               entry.ms - committed_ms .. " ms after the rules forbade it")
    end
end
for _, entry in ipairs(state.entries) do
    eventually(in_force_limit_ms, function()
        return served_rules(entry) == generation and probe(entry) == 403
    end, entry.name .. " applies the newest rules")
end

-- 4. The table is down: a new entry gets the newest rules from its peers, and
-- one without peers gets them from agents that keep a copy.
fault("platform", {table = {down = true}})
kill(killed.name)
fleet.start_entry(state, entry_order[3])
local started_ms = now_ms()
eventually(in_force_limit_ms, function()
    return served_rules(killed) == generation and probe(killed) == 403
end, "the new entry applies the rules of its peers")
log("rules from peers after " .. now_ms() - started_ms .. " ms")
for _, entry in ipairs(state.entries) do
    kill(entry.name)
end
fleet.start_entry(state, entry_order[2])
started_ms = now_ms()
eventually(in_force_limit_ms, function()
    return served_rules(frozen) == generation
end, "the only entry has the rules of a keeper agent")
log("rules from keeper agents after " .. now_ms() - started_ms .. " ms")
expect(probe(frozen) ~= 200, "customer ministry is not served")
fault("platform", {table = {down = false}})
eventually(in_force_limit_ms, function() return probe(frozen) == 403 end,
           "the table confirms the rules")
expect(#rules_commits() == generation, "nothing else wrote the rules")
log("slowest time until rules were served everywhere: " .. slowest_ms .. " ms")
