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

struct rules_service_options
{
    std::string entry_id;
    std::string incarnation;
    core::duration confirmation_limit{8000};
    core::duration call_limit{1000};
    core::duration retry_pause{150};
    core::duration write_limit{5000}; ///< for one write and its recovery
};

/// Where rules can be fetched from and pushed to.
struct rules_neighbours
{
    std::function<std::vector<peers::entry_record>()> live_entries;
    std::function<std::vector<std::string>()> entry_addresses;
    std::function<std::vector<std::string>()> agent_addresses;
};

/// How far an accepted rule file has spread.
struct apply_outcome
{
    std::uint64_t generation = 0;
    std::vector<std::string> confirmed;   ///< ids of entries that have it
    std::vector<std::string> unconfirmed; ///< ids of known entries that
                                          ///< did not answer in time

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(apply_outcome, generation, confirmed,
                                   unconfirmed)
};

/// Keeps the rules of this entry in step with the table and with the other
/// entries (sections 3.2 and 3.10 of the design).
class rules_service final : public policy::rules_provider,
                            public targets::rules_exchange
{
public:
    /// @param check null if guarantees are not checked
    rules_service(platform::table& table, peers::link_pool& links,
                  core::clock const& clock, rules_neighbours neighbours,
                  guarantee_check const* check, rules_service_options options);

    std::shared_ptr<policy::rule_set const> rules() const override;
    core::status admission_state() const override;

    std::uint64_t rules_generation() const override;
    std::string rules_document() const override;
    core::duration table_age() const override;
    void record_generation(std::uint64_t generation,
                           std::string_view address) override;
    void record_peer_answer(std::uint64_t generation, std::string_view address,
                            core::time_point asked_at) override;

    /// Reads the table and fetches what is missing; called each second.
    void refresh();

    /// Checks a rule file without applying it.
    /// @param text the rule file
    /// @return ok, bad_rules or guarantees_do_not_fit
    core::status check(std::string_view text) const;

    /// Puts a rule file in force and waits until the known entries have it.
    /// @param author the operator
    /// @param base the generation from which the text was edited
    /// @param text the rule file
    /// @return how far it spread; rules_conflict with the lines that changed
    ///         since; write_unknown if it may come into force
    core::result<apply_outcome>
    apply(std::string_view author, std::uint64_t base, std::string_view text);

    /// @return the rules in force with their author
    stored_rules current() const;

    /// Answers the message `rules`, installing what it brings.
    peers::answer_envelope handle(peers::envelope const& request);

private:
    struct row_content
    {
        std::uint64_t version = 0;
        stored_rules rules; ///< generation 0 if the row is absent
    };

    core::result<row_content> read_row();
    void take_from_table(stored_rules const& stored);
    void ask_entries();
    void fetch_missing();
    bool fetch_from(std::string const& address);
    bool install(rules_message const& message);
    rules_message own_message(std::uint64_t known) const;
    bool push_to(std::string const& address, std::uint64_t generation);
    void push_to_all();
    core::error conflict(std::uint64_t base, std::string_view text) const;
    core::status store(row_content const& row, std::uint64_t base,
                       stored_rules const& next);
    void spread(apply_outcome& outcome);
    void push_round(std::vector<peers::entry_record>& waiting,
                    apply_outcome& outcome);

    core::clock const& clock_;
    peers::link_pool& links_;
    rules_neighbours neighbours_;
    guarantee_check const* check_;
    rules_service_options options_;
    platform::recovering_writer writer_;
    rules_state state_;
    std::atomic<core::duration::rep> table_read_at_ms_;
    std::atomic<bool> is_fetching_{false};
    std::atomic<std::size_t> agent_cursor_{0};
};

} // namespace sequoiaroute::operators
