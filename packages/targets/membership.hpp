#pragma once

#include "core/clock.hpp"
#include "core/sharded_map.hpp"
#include "peers/link.hpp"
#include "platform/table.hpp"
#include "targets/entry_directory.hpp"
#include "targets/entry_registration.hpp"
#include "targets/rules_exchange.hpp"
#include "targets/rules_keepers.hpp"
#include "targets/target_directory.hpp"
#include "targets/target_record.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// The settings of a membership.
struct membership_options
{
    peers::entry_record self; ///< this entry
    /// Peer addresses of other entries from the settings, IP:PORT.
    std::vector<std::string> static_peers;
    /// Time without contact after which a target is suspect.
    core::duration suspect_after{15'000};
    /// Time without activity after which an entry no longer counts as live.
    core::duration entry_live_limit{15'000};
    /// Time without contact after which a worker is lost if all entries are in
    /// contact with each other.
    core::duration lost_after{30'000};
    /// Time without contact after which a worker is lost even if entries are
    /// out of contact (docs/design.md, section 3.12 d).
    core::duration lost_without_contact = std::chrono::minutes(90);
    /// Added to lost_without_contact: agents begin to stop their tasks at that
    /// limit and need time to finish.
    core::duration lost_margin = std::chrono::minutes(2);
    /// Time without contact after which a target is removed.
    core::duration target_expiry = std::chrono::hours(3);
    core::duration call_limit{1000}; ///< timeout of a sync call
    std::size_t keeper_count = 3;    ///< agents that keep a copy of the rules
};

/// The targets and entries known to this entry. The view is updated from the
/// reports of agents, from syncs with the other entries and from the entries'
/// rows in the table (sections 3.9 and 3.12). Thread-safe, except that
/// renew() must not run concurrently with itself.
class membership final : public target_directory
{
public:
    /// All references must outlive this object.
    /// @param table holds the entries' rows and the decider's lease row
    /// @param links connections to the other entries
    /// @param clock the time source
    membership(platform::table& table, peers::link_pool& links,
               core::clock const& clock, membership_options options);

    /// Sets the rules of this entry, which must outlive this object. Must be
    /// called once, before any message is handled.
    void set_rules(rules_exchange& rules) { rules_ = &rules; }

    std::vector<known_target> targets(peers::target_kind kind) const override;
    void record_contact(std::string_view target_id) override;
    void record_failure(std::string_view target_id) override;
    bool is_lost(std::string_view worker_id,
                 std::string_view incarnation) const override;
    std::vector<peers::entry_record> peer_entries() const override;

    /// Handles a `report` message of an agent.
    /// @return a report_answer; conflict if a newer incarnation of the agent
    ///         has reported; or a decoding error
    peers::answer_envelope handle_report(peers::envelope const& request);

    /// Handles a `sync` message of another entry.
    /// @return a sync_message with the targets that the sender has not received
    ///         yet, or all if it wants all; or a decoding error
    peers::answer_envelope handle_sync(peers::envelope const& request);

    /// Exchanges recent contacts with all entries, removes expired entries and
    /// targets, and selects the rules keepers anew. Called each second. The
    /// entries are called in parallel; blocks until all have answered or the
    /// call limit has passed.
    void sync();

    /// Renews the row of this entry, and reads those of the others and the
    /// decider's lease row. Called every 5 s.
    void renew();

    /// Sends a last sync and deletes the row of this entry. Called when this
    /// entry stops. A later renew() creates the row again.
    void leave();

    /// @return whether a later incarnation of this entry has started, so that
    ///         this one must stop
    bool is_replaced() const { return is_replaced_; }

    /// @return the highest decider term seen, 0 if none
    std::uint64_t term() const { return term_; }

    /// Records a decider term; a lower one than before is ignored.
    void record_term(std::uint64_t term);

    /// @return the time since the last contact of this entry with the table or
    ///         the decider that the decider can observe as well
    core::duration authority_age() const;

    /// @return the peer addresses of all other entries, live or not
    std::vector<std::string> entry_addresses() const;

    /// @return the addresses of all agents, those of the rules keepers first
    std::vector<std::string> agent_addresses() const;

private:
    using target_map = core::sharded_map<target_record>;

    peers::answer_envelope make_answer(core::json body) const;
    peers::answer_envelope make_refusal(core::error const& failure) const;
    peers::report_answer make_report_answer(peers::target_report const& report);
    /// @param address the peer address of the receiver; the message holds the
    ///        targets whose contacts it has not received yet
    /// @param wants_all whether to request all targets of the receiver
    peers::sync_message make_sync(std::string_view address, bool wants_all);
    /// @param direct_contact_since selects the targets that contacted this
    ///        entry at or after this time; nothing for all targets
    std::vector<peers::target_update>
    target_updates(std::optional<core::time_point> direct_contact_since) const;
    /// @param now the time to which the ages in the message refer
    void apply_sync(peers::sync_message const& message, core::time_point now);
    void sync_with(std::string const& address);
    void apply_sync_answer(std::string const& address,
                           peers::sync_message const& message,
                           core::time_point requested_at);
    /// Counts a contact with an entry if that entry holds the decider lease.
    void record_holder_contact(std::string_view entry_id,
                               core::time_point contact_at);
    /// Advances the time that authority_age() is measured from.
    void record_authority_contact(core::time_point contact_at);
    void remove_expired_targets();
    void select_keepers();
    std::optional<target_record> find_target(std::string_view target_id) const;
    /// @return whether a worker with this last contact is lost
    bool is_past_lost_limit(core::time_point contact_at) const;

    core::clock const& clock_;
    peers::link_pool& links_;
    membership_options options_;
    rules_exchange* rules_ = nullptr;
    core::time_point started_at_;
    mutable target_map targets_;
    entry_directory entries_;
    entry_registration registration_;
    rules_keepers keepers_;
    std::atomic<std::uint64_t> term_{0};
    std::atomic<bool> is_replaced_{false};
    /// See authority_age().
    std::atomic<core::time_point> authority_contact_at_;
    std::atomic<core::time_point> last_scan_at_; ///< of the entries' rows
    mutable std::mutex lease_holder_mutex_;
    std::string lease_holder_; ///< entry id; empty if none is known
};

} // namespace sequoiaroute::targets
