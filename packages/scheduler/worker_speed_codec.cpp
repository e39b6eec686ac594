#include "scheduler/worker_speed_codec.hpp"

#include "core/codec.hpp"

#include <cmath>

namespace sequoiaroute::scheduler {

namespace {

/// The row stores logarithms as whole thousandths.
constexpr double thousandths = 1000;
/// Larger estimates are none that this project writes.
constexpr std::int64_t max_log_ratio_thousandths = 1000;
/// More workers than this do not fit in a row.
constexpr std::size_t max_workers = 1200;

} // namespace

std::string encode(placement::worker_speed::estimates const& estimates)
{
    auto document = core::json::object();
    for (auto const& [agent, estimate] : estimates) {
        if (document.size() == max_workers)
            break;
        document[agent] = {std::lround(estimate.log_ratio * thousandths),
                           estimate.samples};
    }
    return document.dump();
}

core::result<placement::worker_speed::estimates>
decode_worker_speeds(std::string_view text)
{
    using estimates = placement::worker_speed::estimates;
    return core::decode_json<estimates>(text, [](core::json const& document) {
        if (!document.is_object())
            throw core::invalid_document("the estimates are no object");
        estimates decoded;
        for (auto const& [agent, row] : document.items()) {
            auto const ratio = row.at(0).get<std::int64_t>();
            if (std::abs(ratio) > max_log_ratio_thousandths)
                throw core::invalid_document("an estimate is out of range");
            decoded[agent] = {static_cast<double>(ratio) / thousandths,
                              row.at(1).get<std::int32_t>()};
        }
        return decoded;
    });
}

} // namespace sequoiaroute::scheduler
