#include "targets/slot_tracker.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

slot_tracker::reservation::~reservation()
{
    if (owner_ != nullptr)
        owner_->release(target_id_);
}

slot_tracker::account&
slot_tracker::observe(core::sharded_map<account>::shard& shard,
                      peers::target_report const& report)
{
    auto& account = shard[report.target_id];
    if (account.incarnation != report.incarnation ||
        account.sequence != report.sequence) {
        account.incarnation = report.incarnation;
        account.sequence = report.sequence;
        account.in_flight_at_report = account.in_flight;
    }
    return account;
}

int slot_tracker::free_slots(peers::target_report const& report)
{
    return accounts_.with_shard(report.target_id, [&](auto& shard) {
        auto const& account = observe(shard, report);
        auto const of_others =
            std::max(0, report.slots_used - account.in_flight_at_report);
        return report.slots - of_others - account.in_flight;
    });
}

int slot_tracker::own_free_slots(peers::target_report const& report)
{
    return accounts_.with_shard(report.target_id, [&](auto& shard) {
        return report.slots - observe(shard, report).in_flight;
    });
}

std::optional<slot_tracker::reservation>
slot_tracker::reserve(peers::target_report const& report)
{
    using outcome = std::optional<reservation>;
    return accounts_.with_shard(report.target_id, [&](auto& shard) -> outcome {
        auto& account = observe(shard, report);
        if (account.in_flight >= report.slots)
            return std::nullopt;
        ++account.in_flight;
        return reservation(*this, report.target_id);
    });
}

void slot_tracker::release(std::string_view target_id)
{
    accounts_.with_shard(target_id, [&](auto& shard) {
        --shard[std::string(target_id)].in_flight;
    });
}

} // namespace sequoiaroute::targets
