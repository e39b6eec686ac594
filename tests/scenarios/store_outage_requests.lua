-- Guards against requests that fail or run wrongly while the table and the
-- object store are down: repeatable requests must still be answered,
-- unrepeatable ones must be refused and not run. Results that are produced
-- during the outage must be readable from the other entry, also after the
-- outage.
local requests = require("requests")

local codes = requests.codes
local state = requests.start({entries = 2, executors = 2})
-- Longer than the 8 s after which an entry with unconfirmed rules would refuse
-- work.
local outage_ms = 12000
local repeatable, unrepeatable = {}, {}

local function set_stores(is_down)
    fault("platform", {table = {down = is_down}, objects = {down = is_down}})
end

local outage_start_ms = now_ms()
set_stores(true)
while now_ms() - outage_start_ms < outage_ms do
    local index = random(2)
    local record = requests.run_successfully(
        state, state.entries[index], requests.new_id("goes-on"),
        "sleep_ms=" .. random(200) .. " size=" .. random(50000))
    record.other_entry = state.entries[3 - index]
    repeatable[#repeatable + 1] = record
    local refused = requests.submit(state, state.entries[index],
                                    requests.new_id("refused"), "",
                                    {unrepeatable = true, limit_ms = 8000})
    refused.is_unrepeatable = true
    unrepeatable[#unrepeatable + 1] = refused
    sleep_ms(200)
end
for _, record in ipairs(unrepeatable) do
    requests.wait_for_answer(record)
    expect(record.code == codes.not_run_store_unavailable, record.id .. ": " ..
           record.status .. " " .. record.text)
end
-- During the outage the results come from the agents, which keep what they
-- cannot store.
for index = 1, 3 do
    local record = repeatable[random(#repeatable)]
    requests.wait_for_result(state, record.other_entry, record.id, record.body,
                             5000)
end
set_stores(false)

-- With the agents killed, the results must come from the object store.
local function is_stored(id)
    for _, entry in ipairs(journal("platform", "object_written")) do
        if entry.key == "results/requests/press/" .. id then
            return true
        end
    end
end
for _, record in ipairs(repeatable) do
    eventually(15000, function() return is_stored(record.id) end,
               record.id .. " is stored after the outage")
end
for _, agent in ipairs(state.executor_agents) do
    kill(agent.name)
end
for _, record in ipairs(repeatable) do
    requests.wait_for_result(state, record.other_entry, record.id, record.body,
                             5000)
end
requests.check_journal(state, unrepeatable)
log(#repeatable .. " repeatable requests went on, " .. #unrepeatable ..
    " unrepeatable ones were refused")
