#pragma once

#include "core/clock.hpp"
#include "operators/guarantee_check.hpp"
#include "operators/rules_document.hpp"
#include "operators/rules_state.hpp"
#include "peers/link.hpp"
#include "platform/recovering_writer.hpp"
#include "platform/table.hpp"
#include "policy/rules_provider.hpp"
#include "targets/rules_exchange.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::operators {

/// Durations are in milliseconds.
struct rules_service_options
{
    std::string entry_id;
    std::string incarnation;
    /// Age of the last confirmation above which new work is refused, and the
    /// time for which apply() waits for the other entries.
    core::duration confirmation_limit{8000};
    core::duration call_limit{1000};  ///< for one call to an entry or agent
    core::duration retry_delay{150};  ///< between two rounds of calls or writes
    core::duration write_limit{5000}; ///< for one write and its recovery
};

/// Return the processes with which rules are exchanged.
struct rules_peers
{
    /// Other live entries, to which new rules are pushed.
    std::function<std::vector<peers::entry_record>()> live_entries;
    /// IP:PORT of all other entries, live or not.
    std::function<std::vector<std::string>()> entry_addresses;
    /// IP:PORT of agents that may hold a copy, the likely ones first.
    std::function<std::vector<std::string>()> agent_addresses;
};

/// The result of applying a rule file.
struct apply_outcome
{
    std::uint64_t generation = 0;
    /// Ids of the entries that have the rules, this one included.
    std::vector<std::string> confirmed;
    /// Ids of live entries that did not confirm the rules in time.
    std::vector<std::string> unconfirmed;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(apply_outcome, generation, confirmed,
                                   unconfirmed)
};

/// Replicates the rules in force between the table, this entry and the other
/// entries, and checks and applies rule files (docs/design.md, sections 3.2 and
/// 3.10). The references that are passed to it must outlive it.
class rules_service final : public policy::rules_provider,
                            public targets::rules_exchange
{
public:
    /// @param table holds the rules in the row rules/current
    /// @param links the links to other processes
    /// @param clock the time
    /// @param peers the processes with which rules are exchanged
    /// @param check checks guarantees; null to accept all
    /// @param options ids and time limits
    rules_service(platform::table& table, peers::link_pool& links,
                  core::clock const& clock, rules_peers peers,
                  guarantee_check const* check, rules_service_options options);

    std::shared_ptr<policy::rule_set const> rules() const override;
    core::status admission_state() const override;

    std::uint64_t rules_generation() const override;
    std::string rules_document() const override;
    core::duration table_age() const override;
    void record_generation(std::uint64_t generation,
                           std::string_view address) override;
    void record_peer_answer(std::uint64_t generation, std::string_view address,
                            core::time_point requested_at) override;

    /// Reads the rules from the table, and fetches them from other processes if
    /// a higher generation is known or none is in force. Called every second;
    /// blocks for the time of its calls.
    void refresh();

    /// Checks the syntax and the guarantees of a rule file.
    /// @param text the rule file
    /// @return ok, bad_rules or guarantees_do_not_fit
    core::status check(std::string_view text) const;

    /// Puts a rule file in force and waits until the other live entries have
    /// it, at most for the confirmation limit. A retry after a lost answer is
    /// idempotent.
    /// @param author the operator
    /// @param base_generation the generation from which the text was edited
    /// @param text the rule file
    /// @return the new generation and the entries that have it; an error of
    ///         check(); rules_conflict, with the changed lines, if
    ///         base_generation is no longer in force;
    ///         not_run_store_unavailable if the rules were not changed;
    ///         write_unknown if they may come into force
    core::result<apply_outcome> apply(std::string_view author,
                                      std::uint64_t base_generation,
                                      std::string_view text);

    /// @return the rules in force and their author; generation 0 without rules
    stored_rules current() const;

    /// Answers the message `rules`, after recording its generation and
    /// installing the rules that it contains if their generation is higher.
    /// @return the generation and author of the rules in force, with the rules
    ///         if the sender's generation is lower
    peers::answer_envelope handle(peers::envelope const& request);

private:
    struct row_content
    {
        std::uint64_t version = 0; ///< 0 if the row is absent
        stored_rules rules;        ///< generation 0 if the row is absent
    };

    /// @return the content of the row rules/current
    core::result<row_content> read_row();
    /// Installs rules that were read from the table and pushes them to the
    /// other entries, if their generation is higher.
    void install_from_table(stored_rules const& stored);
    /// Requests rules from all other entries in parallel.
    void fetch_from_entries();
    /// Requests rules from all other entries, then from a few agents until the
    /// highest known generation is in force.
    void fetch_missing();
    /// @return whether rules were received and installed
    bool fetch_from(std::string const& address);
    /// @return whether the message contained valid rules of a higher generation
    bool install(rules_message const& message);
    /// @param known_generation the generation that the receiver has; the rules
    ///        are included only if this entry has a higher one
    rules_message make_message(std::uint64_t known_generation) const;
    /// @return whether the process confirms the generation or a higher one
    bool push_to(std::string const& address, std::uint64_t generation);
    /// Pushes the rules in force once to each live entry.
    void push_to_all();
    /// @return rules_conflict with the lines that changed since a generation
    core::error conflict_error(std::uint64_t base_generation,
                               std::string_view text) const;
    /// Writes rules to the table if the row still has the base generation.
    core::status write_rules(row_content const& row,
                             std::uint64_t base_generation,
                             stored_rules const& next);
    /// Pushes the rules in rounds until all live entries have confirmed them or
    /// the confirmation limit is reached.
    void push_until_confirmed(apply_outcome& outcome);
    /// Pushes the rules once to each pending entry, and removes those that
    /// confirm them.
    void push_round(std::vector<peers::entry_record>& pending,
                    apply_outcome& outcome);

    core::clock const& clock_;
    peers::link_pool& links_;
    rules_peers peers_;
    guarantee_check const* guarantee_check_;
    rules_service_options options_;
    platform::recovering_writer writer_;
    rules_state state_;
    /// When the last successful read of the table was sent.
    std::atomic<core::duration::rep> table_read_at_ms_;
    std::atomic<bool> is_fetching_{false};
    /// Index of the next agent to fetch from, modulo the number of agents.
    std::atomic<std::size_t> next_agent_{0};
};

} // namespace sequoiaroute::operators
