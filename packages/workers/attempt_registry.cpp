#include "workers/attempt_registry.hpp"

#include "core/result_code.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

namespace sequoiaroute::workers {

namespace {

std::string make_request_key(std::string_view customer,
                             std::string_view request_id)
{
    return fmt::format("{}/{}", customer, request_id);
}

peers::attempt_answer make_answer(std::string_view attempt_id,
                                  peers::attempt_state state)
{
    peers::attempt_answer answer;
    answer.attempt_id = attempt_id;
    answer.state = state;
    return answer;
}

} // namespace

attempt_registry::begin_result
attempt_registry::begin(peers::dispatch const& request)
{
    auto const key = make_request_key(request.customer, request.request_id);
    auto outcome = records_.with_shard(
        request.attempt_id, [&](auto& shard) -> begin_result {
            auto const found = shard.find(request.attempt_id);
            if (found != shard.end())
                return {false, found->second.answer};
            auto answer =
                make_answer(request.attempt_id, peers::attempt_state::running);
            shard.emplace(request.attempt_id, record{key, answer});
            return {true, std::move(answer)};
        });
    if (outcome.is_new) {
        latest_attempts_.with_shard(key, [&](auto& shard) {
            shard.insert_or_assign(key, request.attempt_id);
        });
    }
    return outcome;
}

void attempt_registry::finish(peers::attempt_answer const& answer)
{
    auto const is_recorded =
        records_.with_shard(answer.attempt_id, [&](auto& shard) {
            auto const found = shard.find(answer.attempt_id);
            if (found == shard.end())
                return false;
            found->second.answer = answer;
            return true;
        });
    if (is_recorded)
        retain_answer(answer.attempt_id, answer.body.size());
}

void attempt_registry::retain_answer(std::string const& attempt_id,
                                     std::size_t bytes)
{
    std::vector<std::string> dropped_ids;
    {
        std::lock_guard const lock(retention_mutex_);
        attempts_with_body_.push_back({attempt_id, clock_.now(), bytes});
        answer_bytes_ += bytes;
        while (answer_bytes_ > limits_.answer_bytes) {
            auto oldest = std::move(attempts_with_body_.front());
            attempts_with_body_.pop_front();
            answer_bytes_ -= oldest.bytes;
            dropped_ids.push_back(oldest.attempt_id);
            oldest.bytes = 0;
            attempts_without_body_.push_back(std::move(oldest));
        }
    }
    for (auto const& id : dropped_ids)
        drop_body(id);
}

void attempt_registry::drop_body(std::string const& attempt_id)
{
    // The attempt itself stays recorded, so that it is not run again.
    records_.with_shard(attempt_id, [&](auto& shard) {
        auto const found = shard.find(attempt_id);
        if (found == shard.end() || found->second.answer.body.empty())
            return;
        auto& answer = found->second.answer;
        answer = make_answer(attempt_id, peers::attempt_state::failed);
        answer.code =
            static_cast<std::uint16_t>(core::result_code::outcome_unknown);
        answer.message = "the agent has dropped the answer to limit its memory";
    });
}

peers::attempt_answer attempt_registry::fence(std::string const& attempt_id)
{
    bool is_new = false;
    auto answer = records_.with_shard(attempt_id, [&](auto& shard) {
        auto const found = shard.find(attempt_id);
        if (found != shard.end())
            return found->second.answer;
        is_new = true;
        auto fenced = make_answer(attempt_id, peers::attempt_state::fenced);
        fenced.code =
            static_cast<std::uint16_t>(core::result_code::refused_not_run);
        fenced.message = "the attempt was fenced before its dispatch arrived";
        shard.emplace(attempt_id, record{"", fenced});
        return fenced;
    });
    if (is_new) {
        std::lock_guard const lock(retention_mutex_);
        fenced_attempts_.push_back({attempt_id, clock_.now(), 0});
    }
    return answer;
}

std::string
attempt_registry::find_attempt(peers::attempt_reference const& reference)
{
    if (!reference.attempt_id.empty())
        return reference.attempt_id;
    auto const key = make_request_key(reference.customer, reference.request_id);
    return latest_attempts_.with_shard(key, [&](auto& shard) {
        auto const found = shard.find(key);
        return found == shard.end() ? std::string() : found->second;
    });
}

peers::attempt_answer
attempt_registry::query(peers::attempt_reference const& reference)
{
    auto const attempt_id = find_attempt(reference);
    return records_.with_shard(attempt_id, [&](auto& shard) {
        auto const found = shard.find(attempt_id);
        if (found == shard.end())
            return make_answer(attempt_id, peers::attempt_state::unknown);
        return found->second.answer;
    });
}

void attempt_registry::expire()
{
    std::vector<std::string> expired_ids;
    {
        std::lock_guard const lock(retention_mutex_);
        auto const now = clock_.now();
        auto const expire_queue = [&](std::deque<retained_attempt>& queue,
                                      core::duration limit) {
            while (!queue.empty() && now - queue.front().ended_at >= limit) {
                answer_bytes_ -= queue.front().bytes;
                expired_ids.push_back(std::move(queue.front().attempt_id));
                queue.pop_front();
            }
        };
        expire_queue(attempts_with_body_, limits_.answer_retention);
        expire_queue(attempts_without_body_, limits_.answer_retention);
        expire_queue(fenced_attempts_, limits_.fence_retention);
    }
    for (auto const& id : expired_ids)
        erase_attempt(id);
}

void attempt_registry::erase_attempt(std::string const& attempt_id)
{
    auto const key = records_.with_shard(attempt_id, [&](auto& shard) {
        auto const found = shard.find(attempt_id);
        if (found == shard.end())
            return std::string();
        auto request_key = std::move(found->second.request_key);
        shard.erase(found);
        return request_key;
    });
    latest_attempts_.with_shard(key, [&](auto& shard) {
        auto const found = shard.find(key);
        if (found != shard.end() && found->second == attempt_id)
            shard.erase(found);
    });
}

core::json attempt_registry::dump()
{
    core::json states = core::json::object();
    records_.for_each_shard([&](auto& shard) {
        for (auto const& [id, record] : shard) {
            auto const name =
                core::json(record.answer.state).get<std::string>();
            states[name] = states.value(name, 0) + 1;
        }
    });
    std::lock_guard const lock(retention_mutex_);
    return {{"attempts", states}, {"answer_bytes", answer_bytes_}};
}

} // namespace sequoiaroute::workers
