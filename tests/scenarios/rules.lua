-- Guards against rules that don't reach all entries within 8 s, that are lost
-- by the restart of an entry or an outage of the table, and against conflicting
-- edits that overwrite each other.
local fleet = require("fleet")

local in_force_limit_ms = 8000
local state = fleet.start({entries = 2})
local first, second = state.entries[1], state.entries[2]

local function rules_text(priority)
    return "customer press priority=" .. priority ..
           " # asked for by Dana Reyes\n"
end

local function current_rules(entry)
    local headers = fleet.authorize(state, "dana")
    local status, body = http("GET", entry.http_address, "/v1/rules", headers)
    expect(status == 200, "rules of " .. entry.name .. ": " .. body)
    return json(body)
end

local function is_ready(entry)
    return http("GET", entry.http_address, "/v1/ready") == 200
end

local function put_rules(entry, generation, content)
    return http("PUT", entry.http_address, "/v1/rules?generation=" ..
                generation, fleet.authorize(state, "dana"), content)
end

eventually(10000, function()
    return http("GET", first.http_address, "/v1/ready") == 503 and
           http("GET", second.http_address, "/v1/ready") == 503
end, "both entries answer, without rules")
sleep_ms(1500)

-- When the edit is answered, the second entry has the rules as well.
local status, body = put_rules(first, 0, rules_text(1))
expect(status == 200, body)
expect(json(body).generation == 1, body)
expect(#json(body).confirmed == 2, "both entries confirm: " .. body)
expect(current_rules(second).generation == 1,
       "the second entry has generation 1")
expect(is_ready(first) and is_ready(second), "both entries are ready")

-- The error of an invalid file states file, line and column; a wrong key is
-- refused.
status, body = put_rules(first, 1, "customer press prio=1 # asked for by Ida\n")
expect(status == 400 and body:find("rules:1:16"), body)
status = http("PUT", first.http_address, "/v1/rules?generation=1",
              {Authorization = "Bearer wrong"}, rules_text(9))
expect(status == 401, "a wrong key is refused")

-- Of two edits of the same generation, the second is refused; the error quotes
-- the conflicting lines.
expect(put_rules(second, 1, rules_text(2)) == 200, "the first edit")
status, body = put_rules(first, 1, rules_text(3))
expect(status == 409 and body:find("priority=2"), body)

-- The answer to the write is lost, but the edit is still reported as accepted.
fault("platform", {table = {lose_answers = 1, lose_answers_prefix = "rules/"}})
status, body = put_rules(first, 2, rules_text(4))
expect(status == 200 and json(body).generation == 3, body)

-- An entry that starts during an outage gets the rules from its peer.
kill(second.name)
fault("platform", {table = {down = true}})
fleet.start_entry(state, 2)
eventually(in_force_limit_ms, function() return is_ready(second) end,
           "the restarted entry is ready")
expect(current_rules(second).generation == 3, "the rules of the peer")
status, body = put_rules(second, 3, rules_text(5))
expect(status == 503 and body:find("not_run_store_unavailable"), body)

-- Without table and peer, an entry cannot confirm its rules and refuses work
-- after 8 s.
freeze(second.name)
eventually(in_force_limit_ms + 3000, function() return not is_ready(first) end,
           "unconfirmed rules refuse work")
thaw(second.name)
eventually(3000, function() return is_ready(first) end, "the peer confirms")
fault("platform", {table = {down = false}})
expect(stop(second.name) == 0, "the entry stops gracefully")
