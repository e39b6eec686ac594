#pragma once

#include "core/identifier.hpp"
#include "peers/link.hpp"
#include "targets/target_directory.hpp"

#include <gmock/gmock.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::support {

class mock_link : public peers::link
{
public:
    MOCK_METHOD(core::result<peers::answer_envelope>, call,
                (std::string_view, core::json const&, core::duration),
                (override));
};

/// Returns the same link for every address.
class single_link_pool : public peers::link_pool
{
public:
    explicit single_link_pool(std::shared_ptr<peers::link> link)
        : link_(std::move(link))
    {
    }
    std::shared_ptr<peers::link> link_to(std::string_view) override
    {
        return link_;
    }

private:
    std::shared_ptr<peers::link> link_;
};

/// A directory with fixed lists of targets and entries. No target is ever lost.
class fixed_directory : public targets::target_directory
{
public:
    std::vector<targets::known_target>
    targets(peers::target_kind) const override
    {
        return known;
    }
    void record_contact(std::string_view) override {}
    MOCK_METHOD(void, record_failure, (std::string_view), (override));
    bool is_lost(std::string_view, std::string_view) const override
    {
        return false;
    }
    std::vector<peers::entry_record> peer_entries() const override
    {
        return entries;
    }

    std::vector<targets::known_target> known;
    std::vector<peers::entry_record> entries;
};

/// @return an executor with eight slots, in the incarnation "first"
inline targets::known_target make_executor_target(std::string id)
{
    targets::known_target target;
    target.report.target_id = std::move(id);
    target.report.incarnation = "first";
    target.report.address = "127.0.0.1:1";
    target.report.service = "proofs";
    target.report.slots = 8;
    target.report.sequence = 1;
    return target;
}

/// @return an answer of a target, as received through a link
inline core::result<peers::answer_envelope>
make_answer(peers::attempt_answer const& answer,
            std::string incarnation = "first")
{
    return peers::answer_envelope{0, "", std::move(incarnation), answer};
}

/// @return an answer that reports the state of an attempt
inline peers::attempt_answer make_attempt_answer(std::string attempt_id,
                                                 peers::attempt_state state)
{
    peers::attempt_answer answer;
    answer.attempt_id = std::move(attempt_id);
    answer.state = state;
    return answer;
}

/// @return an answer that reports a finished attempt with its whole body
inline peers::attempt_answer make_finished_attempt(std::string attempt_id,
                                                   std::string const& body)
{
    auto answer = make_attempt_answer(std::move(attempt_id),
                                      peers::attempt_state::finished);
    answer.body = body;
    answer.length = body.size();
    answer.digest = core::digest(body);
    return answer;
}

inline core::error make_error(core::result_code code)
{
    return {code, "made by the test"};
}

} // namespace sequoiaroute::support
