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

struct membership_options
{
    peers::entry_record self;
    std::vector<std::string> static_peers; ///< addresses from the settings
    core::duration suspect_after{15'000};
    core::duration entry_live_limit{15'000};
    /// Silence after which a worker is lost if all entries are in contact.
    core::duration lost_after{30'000};
    /// Silence after which a worker is lost in any case, section 3.12 d.
    core::duration lost_without_contact = std::chrono::minutes(90);
    /// Agents stop their tasks at the limit above; this leaves them the time
    /// to do so.
    core::duration lost_margin = std::chrono::minutes(2);
    core::duration forget_after = std::chrono::hours(3);
    core::duration call_limit{1000};
    std::size_t keeper_count = 3;
};

/// The view of targets and entries that this entry has, kept in step with the
/// other entries (sections 3.9 and 3.12 of the design).
class membership final : public target_directory
{
public:
    membership(platform::table& table, peers::link_pool& links,
               core::clock const& clock, membership_options options);

    /// Sets the rules of this entry; called once, before any message.
    void set_rules(rules_exchange& rules) { rules_ = &rules; }

    std::vector<known_target> targets(peers::target_kind kind) const override;
    void record_contact(std::string_view target_id) override;
    void record_failure(std::string_view target_id) override;
    bool is_lost(std::string_view worker_id,
                 std::string_view incarnation) const override;
    std::vector<peers::entry_record> peer_entries() const override;

    /// Answers a `report` of an agent.
    peers::answer_envelope handle_report(peers::envelope const& request);

    /// Answers a `sync` of another entry.
    peers::answer_envelope handle_sync(peers::envelope const& request);

    /// Exchanges what was heard with all entries; called each second.
    void sync();

    /// Renews the own row and reads those of the others; called every 5 s.
    void renew();

    /// Deletes the own row when this entry stops.
    void leave();

    /// @return whether a later process with this entry's id has started, so
    ///         that this one must stop
    bool is_replaced() const { return is_replaced_; }

    /// @return the highest term of a decider that was seen, 0 if none
    std::uint64_t term() const { return term_; }
    void record_term(std::uint64_t term);

    /// @return the time since this entry was in contact with the table or the
    ///         decider, in a way that the decider can tell
    core::duration authority_age() const;

    /// @return addresses of all other entries, live or not
    std::vector<std::string> entry_addresses() const;

    /// @return addresses of agents that may keep the rules, likely ones first
    std::vector<std::string> agent_addresses() const;

private:
    using target_map = core::sharded_map<target_record>;

    peers::answer_envelope answer(core::json body) const;
    peers::answer_envelope refuse(core::error const& failure) const;
    peers::report_answer make_report_answer(peers::target_report const& report);
    peers::sync_message make_sync(std::string_view address, bool wants_all);
    std::vector<peers::target_delta>
    deltas(std::optional<core::time_point> heard_here_since) const;
    void take(peers::sync_message const& message, core::time_point now);
    void sync_with(std::string const& address);
    void take_answer(std::string const& address,
                     peers::sync_message const& message,
                     core::time_point asked_at);
    void note_holder_contact(std::string_view entry_id,
                             core::time_point contact_at);
    void note_authority(core::time_point contact_at);
    void forget_old_targets();
    void choose_keepers();
    std::optional<target_record> find(std::string_view target_id) const;
    bool is_lost_since(core::time_point heard_at) const;

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
    std::atomic<core::time_point> authority_at_;
    std::atomic<core::time_point> scanned_at_;
    mutable std::mutex holder_mutex_;
    std::string holder_;
};

} // namespace sequoiaroute::targets
