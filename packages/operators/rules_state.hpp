#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
#include "policy/rules.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sequoiaroute::operators {

/// The rules in force at this entry, and when they were last confirmed as the
/// newest. Thread-safe.
class rules_state
{
public:
    /// @param clock the time; must outlive this object
    /// @param confirmation_limit the age of the last confirmation above which
    ///        new work is refused
    rules_state(core::clock const& clock, core::duration confirmation_limit);

    /// @return the rules in force; never null, generation 0 if there are none
    std::shared_ptr<policy::rule_set const> rules() const;

    /// @return the operator who applied them, empty if unknown
    std::string author() const;

    /// Installs rules unless the same or a higher generation is in force.
    /// @param rules the rules with their generation
    /// @param author the operator who applied them, empty if unknown
    /// @return whether they were installed
    bool install(policy::rule_set rules, std::string author);

    /// Records that a generation exists. New work is refused until it or a
    /// higher one is installed.
    void observe_generation(std::uint64_t generation);

    /// @return whether a higher generation than the one in force is known
    bool is_behind() const;

    /// Records that the table or an entry had a generation as its newest.
    /// @param generation ignored unless it is the one in force
    /// @param requested_at when the request was sent; not when the answer was
    ///        read, which may be much later if this process was frozen
    void confirm(std::uint64_t generation, core::time_point requested_at);

    /// @return ok if new work may be admitted; not_ready without rules;
    ///         rules_unconfirmed if a higher generation is known or the last
    ///         confirmation is too old
    core::status admission_status() const;

    /// @return whether the rules were confirmed, at most the limit ago
    bool is_confirmed_within(core::duration limit) const;

    /// @return the text of one of the last generations in force; nothing if it
    ///         is no longer kept
    std::optional<std::string> text_of(std::uint64_t generation) const;

private:
    core::clock const& clock_;
    core::duration confirmation_limit_;
    mutable std::mutex mutex_;
    std::shared_ptr<policy::rule_set const> rules_;
    std::string author_;
    std::uint64_t newest_known_generation_ = 0;
    std::optional<core::time_point> confirmed_at_;
    std::map<std::uint64_t, std::string> texts_by_generation_;
};

} // namespace sequoiaroute::operators
