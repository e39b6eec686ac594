#include "targets/slot_tracker.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

slot_tracker::reservation::~reservation()
{
    if (tracker_ != nullptr)
        tracker_->release(target_id_);
}

slot_tracker::usage&
slot_tracker::update_usage(core::sharded_map<usage>::shard& shard,
                           peers::target_report const& report)
{
    auto& usage = shard[report.target_id];
    if (usage.incarnation != report.incarnation ||
        usage.sequence != report.sequence) {
        usage.incarnation = report.incarnation;
        usage.sequence = report.sequence;
        usage.in_flight_at_report = usage.in_flight;
    }
    return usage;
}

int slot_tracker::free_slots(peers::target_report const& report)
{
    return usage_.with_shard(report.target_id, [&](auto& shard) {
        auto const& usage = update_usage(shard, report);
        auto const used_by_others =
            std::max(0, report.slots_used - usage.in_flight_at_report);
        return report.slots - used_by_others - usage.in_flight;
    });
}

int slot_tracker::own_free_slots(peers::target_report const& report)
{
    return usage_.with_shard(report.target_id, [&](auto& shard) {
        return report.slots - update_usage(shard, report).in_flight;
    });
}

std::optional<slot_tracker::reservation>
slot_tracker::reserve(peers::target_report const& report)
{
    using outcome = std::optional<reservation>;
    return usage_.with_shard(report.target_id, [&](auto& shard) -> outcome {
        auto& usage = update_usage(shard, report);
        if (usage.in_flight >= report.slots)
            return std::nullopt;
        ++usage.in_flight;
        return reservation(*this, report.target_id);
    });
}

void slot_tracker::release(std::string_view target_id)
{
    usage_.with_shard(target_id, [&](auto& shard) {
        --shard[std::string(target_id)].in_flight;
    });
}

} // namespace sequoiaroute::targets
