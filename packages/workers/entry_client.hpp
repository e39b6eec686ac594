#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "peers/link.hpp"
#include "peers/messages.hpp"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::workers {

/// Settings of an entry_client.
struct entry_client_options
{
    std::string agent_id;
    /// Peer addresses of entries, from the settings file.
    std::vector<std::string> seed_addresses;
    core::duration report_period{5000};
    /// Report period while the agent is leaving or no entry answers.
    core::duration leaving_report_period{1000};
    core::duration call_limit{2000}; ///< timeout of one call to an entry
};

/// Sends the reports of this agent to the entries and keeps what the answers
/// contain: the list of entries and the rules (docs/design.md, sections 3.9 and
/// 3.10). Reports go to the home entry of the agent, which rendezvous hashing
/// selects, or to the next one if that does not answer. Thread-safe.
class entry_client
{
public:
    /// Makes a report without its sequence and rules_generation, which
    /// entry_client fills in.
    using report_source = std::function<peers::target_report()>;

    /// @param options agent id, seed addresses and periods
    /// @param clock the time source
    /// @param links the links to the entries
    /// @param make_base_report makes the reports
    entry_client(entry_client_options options, core::clock const& clock,
                 peers::link_pool& links, report_source make_base_report);

    /// Sends a report if one is due. Must be called at least every second.
    void tick();

    /// Sends a report immediately, to the home entry or the next one that
    /// answers.
    /// @return true if an entry answered
    bool send_report();

    /// Sends the report of a gang member to the decider through an entry.
    /// @param report the report
    /// @return ok if it was accepted; still_running if the decider waits for
    ///         the other members; else the error of the last entry tried
    core::status send_member_report(peers::member_report const& report);

    /// @return the time since the last answered report was sent
    core::duration silence() const;

    /// @return the time since the last contact that any entry is known to have
    ///         had with the table or the decider
    core::duration authority_age() const;

    /// @return the highest rules generation seen (rules_generation), and the
    ///         newest rules received, as JSON text (rules, empty if none) with
    ///         their generation (kept_generation)
    core::json rules() const;

    /// @return the state of the contact with the entries, for diagnosis
    core::json dump() const;

private:
    /// @return the addresses to try in order: the best entries by rendezvous
    ///         hashing, the home entry first, and then the seeds
    std::vector<std::string> ranked_addresses() const;
    peers::target_report make_report();
    bool send_report_to(std::string const& address,
                        peers::target_report const& report);
    void apply_answer(peers::report_answer const& answer,
                      core::time_point sent_at);

    entry_client_options options_;
    core::clock const& clock_;
    peers::link_pool& links_;
    report_source make_base_report_;
    mutable std::mutex mutex_; ///< guards the members below
    std::vector<peers::entry_record> entries_;
    std::uint64_t sequence_ = 0;         ///< of the last report
    std::uint64_t rules_generation_ = 0; ///< highest generation seen
    std::uint64_t kept_generation_ = 0;  ///< generation of rules_
    std::string rules_;                  ///< newest rules received, as JSON
    core::time_point next_report_at_;
    core::time_point last_answered_at_; ///< send time of the report
    /// Latest known contact of an entry with the table or the decider; unset
    /// until an entry has answered.
    std::optional<core::time_point> authority_contact_at_;
};

} // namespace sequoiaroute::workers
