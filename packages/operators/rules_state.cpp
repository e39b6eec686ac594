#include "operators/rules_state.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::operators {

namespace {

/// Texts of earlier generations are kept so that a conflict can show what has
/// changed since an edit began.
constexpr std::size_t max_kept_texts = 16;

} // namespace

rules_state::rules_state(core::clock const& clock,
                         core::duration confirmation_limit)
    : clock_(clock), confirmation_limit_(confirmation_limit),
      rules_(std::make_shared<policy::rule_set const>())
{
}

std::shared_ptr<policy::rule_set const> rules_state::rules() const
{
    std::lock_guard const lock(mutex_);
    return rules_;
}

std::string rules_state::author() const
{
    std::lock_guard const lock(mutex_);
    return author_;
}

bool rules_state::install(policy::rule_set rules, std::string author)
{
    std::lock_guard const lock(mutex_);
    if (rules.generation <= rules_->generation)
        return false;
    texts_by_generation_[rules.generation] = rules.text;
    if (texts_by_generation_.size() > max_kept_texts)
        texts_by_generation_.erase(texts_by_generation_.begin());
    newest_known_generation_ =
        std::max(newest_known_generation_, rules.generation);
    rules_ = std::make_shared<policy::rule_set const>(std::move(rules));
    author_ = std::move(author);
    return true;
}

void rules_state::observe_generation(std::uint64_t generation)
{
    std::lock_guard const lock(mutex_);
    newest_known_generation_ = std::max(newest_known_generation_, generation);
}

bool rules_state::is_behind() const
{
    std::lock_guard const lock(mutex_);
    return rules_->generation < newest_known_generation_;
}

void rules_state::confirm(std::uint64_t generation,
                          core::time_point requested_at)
{
    std::lock_guard const lock(mutex_);
    if (generation != rules_->generation)
        return;
    confirmed_at_ =
        std::max(confirmed_at_.value_or(requested_at), requested_at);
}

bool rules_state::is_confirmed_within(core::duration limit) const
{
    std::lock_guard const lock(mutex_);
    return confirmed_at_ && clock_.now() - *confirmed_at_ <= limit;
}

core::status rules_state::admission_status() const
{
    std::lock_guard const lock(mutex_);
    if (rules_->generation == 0) {
        return core::error{core::result_code::not_ready,
                           "this entry has no rules yet"};
    }
    if (rules_->generation < newest_known_generation_) {
        return core::error{
            core::result_code::rules_unconfirmed,
            fmt::format("this entry has rules of generation {}, but "
                        "generation {} exists",
                        rules_->generation, newest_known_generation_)};
    }
    if (!confirmed_at_ || clock_.now() - *confirmed_at_ > confirmation_limit_) {
        return core::error{core::result_code::rules_unconfirmed,
                           "this entry could not confirm its rules with the "
                           "table or another entry in time"};
    }
    return core::success();
}

std::optional<std::string> rules_state::text_of(std::uint64_t generation) const
{
    std::lock_guard const lock(mutex_);
    auto const found = texts_by_generation_.find(generation);
    if (found == texts_by_generation_.end())
        return std::nullopt;
    return found->second;
}

} // namespace sequoiaroute::operators
