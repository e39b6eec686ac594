#include "policy/load.hpp"

#include <fmt/format.h>

namespace sequoiaroute::benchmarks {

using policy::adjacency;

namespace {

void add_workers(load& load, int count, int workers_per_rack,
                 std::vector<int> const& data_centre_of_rack,
                 policy::resources total)
{
    auto const first = load.workers.size();
    for (int index = 0; index < count; ++index) {
        auto const number = first + static_cast<std::size_t>(index);
        auto const rack = number / static_cast<std::size_t>(workers_per_rack);
        load.workers.push_back(
            {.worker_id = fmt::format("w{}", number),
             .data_centre = fmt::format(
                 "dc{}",
                 data_centre_of_rack[rack % data_centre_of_rack.size()]),
             .rack = fmt::format("r{}", rack),
             .total = total,
             .free = total});
    }
}

void add_customer(load& load, std::string const& name, int priority,
                  double share, std::vector<policy::guaranteed_shape> shapes)
{
    auto& rule = load.rules.customers[name];
    rule.customer = name;
    rule.priority = priority;
    rule.guarantees = std::move(shapes);
    load.customer_shares.push_back(share);
}

load load_a()
{
    load load;
    load.name = "a";
    load.title = "Magnolia Lantern (11 workers, 88 accelerators)";
    load.mix =
        "33 jobs/h: 60% urgent proofs (1 accelerator, median 3 min), 15% scans "
        "without accelerators, 18% batches of 1 to 4, 4% unrepeatable builds, "
        "3% gangs of 8 to 24 in a rack (median 2 h)";
    add_workers(load, 11, 3, {0, 1, 2, 0}, {128, 512'000, 8});
    add_customer(load, "a_magnolia", 10, 0.45, {{3, 8, adjacency::worker}});
    add_customer(load, "b_river", 5, 0.30, {{1, 16, adjacency::rack}});
    add_customer(load, "c_delta", 5, 0.15, {{2, 4, adjacency::worker}});
    add_customer(load, "d_small", 0, 0.10, {{1, 4, adjacency::worker}});
    load.classes = {{.kind = "proof",
                     .share = 0.60,
                     .member = {8, 16'000, 0},
                     .accelerators = {1},
                     .median_minutes = 3,
                     .sigma = 1.0,
                     .is_urgent = true,
                     .deadline_hours = 0.25},
                    {.kind = "scan",
                     .share = 0.15,
                     .members = {1, 2, 4},
                     .member = {4, 8'000, 0},
                     .median_minutes = 15,
                     .sigma = 1.2},
                    {.kind = "batch",
                     .share = 0.18,
                     .accelerators = {1, 1, 2, 4},
                     .cores_per_accelerator = 12,
                     .within = adjacency::worker,
                     .median_minutes = 40,
                     .sigma = 1.3},
                    {.kind = "build",
                     .share = 0.04,
                     .accelerators = {1, 2},
                     .cores_per_accelerator = 8,
                     .median_minutes = 20,
                     .sigma = 0.8,
                     .is_unrepeatable = true},
                    {.kind = "gang",
                     .share = 0.03,
                     .members = {8, 8, 16, 24},
                     .member = {12, 32'000, 0},
                     .accelerators = {1},
                     .within = adjacency::rack,
                     .median_minutes = 120,
                     .sigma = 1.0,
                     .deadline_hours = 12}};
    load.jobs_per_hour = 33;
    return load;
}

load load_b()
{
    load load;
    load.name = "b";
    load.title = "Velemenyezo Labor (11 workers, 88 accelerators)";
    load.mix =
        "24 jobs/h: 50% urgent clause checks (1 accelerator, median 2 min), "
        "12% imports without accelerators, 28% analyses of 1 to 4, 5% "
        "unrepeatable counted batches, 5% overnight clusterings of 8 to 24 in "
        "a rack (18:00 to 22:00, median 2.5 h)";
    add_workers(load, 11, 3, {0, 1, 2, 3}, {64, 256'000, 8});
    add_customer(load, "a_ministry", 10, 0.40, {{1, 24, adjacency::rack}});
    add_customer(load, "b_bureau", 5, 0.30, {{1, 16, adjacency::rack}});
    add_customer(load, "c_city", 5, 0.20, {{2, 8, adjacency::worker}});
    add_customer(load, "d_office", 0, 0.10, {{1, 4, adjacency::worker}});
    load.classes = {{.kind = "clause",
                     .share = 0.50,
                     .member = {6, 16'000, 0},
                     .accelerators = {1},
                     .median_minutes = 2,
                     .sigma = 1.0,
                     .is_urgent = true,
                     .deadline_hours = 0.25},
                    {.kind = "import",
                     .share = 0.12,
                     .members = {1, 2, 4},
                     .member = {4, 8'000, 0},
                     .median_minutes = 20,
                     .sigma = 1.2},
                    {.kind = "analysis",
                     .share = 0.28,
                     .accelerators = {1, 1, 2, 4},
                     .cores_per_accelerator = 8,
                     .within = adjacency::worker,
                     .median_minutes = 35,
                     .sigma = 1.3},
                    {.kind = "counted",
                     .share = 0.05,
                     .accelerators = {1, 2},
                     .cores_per_accelerator = 8,
                     .median_minutes = 25,
                     .sigma = 0.8,
                     .is_unrepeatable = true,
                     .deadline_hours = 24},
                    {.kind = "clustering",
                     .share = 0.05,
                     .members = {8, 8, 16, 24},
                     .member = {7, 28'000, 0},
                     .accelerators = {1},
                     .within = adjacency::rack,
                     .median_minutes = 150,
                     .sigma = 0.8,
                     .is_overnight = true,
                     .deadline_hours = 12}};
    load.jobs_per_hour = 24;
    return load;
}

load load_c(bool has_services)
{
    load load;
    load.name = has_services ? "c2" : "c1";
    load.title = has_services ? "Design target, services and jobs"
                              : "Design target, wide jobs";
    load.mix =
        has_services
            ? "7,000 services of one task run throughout; 330 jobs a day: 40% "
              "of 2 to 16 tasks without accelerators, 45% of 1 to 8 "
              "accelerators, 10% urgent, 5% gangs of 16 to 64 (median 6 h)"
            : "7,400 tasks run at the start; 330 jobs a day: 68% of 16 to 64 "
              "tasks without accelerators, 20% of 1 to 8 accelerators, 5% "
              "urgent, 7% gangs of 16 to 64 (median 6 h)";
    // 75 workers with 8 and 45 with 2 accelerators have 690 in total. A rack
    // holds 20 workers.
    add_workers(load, 75, 20, {0, 1, 2, 3, 4}, {96, 384'000, 8});
    add_workers(load, 45, 20, {0, 1, 2, 3, 4}, {48, 192'000, 2});
    add_workers(load, 480, 20, {0, 1, 2, 3, 4}, {32, 128'000, 0});
    for (int index = 0; index < 230; ++index) {
        std::vector<policy::guaranteed_shape> shapes;
        if (index < 4)
            shapes = {{1, 32, adjacency::rack}};
        else if (index < 14)
            shapes = {{1, 8, adjacency::worker}};
        else if (index < 54)
            shapes = {{1, 4, adjacency::worker}};
        add_customer(load, fmt::format("team{:03}", index), index % 3,
                     index < 14 ? 6 : 1, shapes);
    }
    auto const wide =
        has_services ? std::vector{2, 4, 8, 16} : std::vector{16, 32, 48, 64};
    load.classes = {{.kind = "wide",
                     .share = has_services ? 0.40 : 0.68,
                     .members = wide,
                     .member = {2, 6'000, 0},
                     .median_minutes = 480,
                     .sigma = 0.9},
                    {.kind = "batch",
                     .share = has_services ? 0.45 : 0.20,
                     .accelerators = {1, 1, 2, 4, 8},
                     .cores_per_accelerator = 10,
                     .within = adjacency::worker,
                     .median_minutes = 360,
                     .sigma = 1.0},
                    {.kind = "check",
                     .share = has_services ? 0.10 : 0.05,
                     .member = {4, 8'000, 0},
                     .accelerators = {1},
                     .median_minutes = 5,
                     .sigma = 1.0,
                     .is_urgent = true,
                     .deadline_hours = 0.25},
                    {.kind = "gang",
                     .share = has_services ? 0.05 : 0.07,
                     .members = {16, 32, 32, 64},
                     .member = {8, 32'000, 0},
                     .accelerators = {1},
                     .within = adjacency::rack,
                     .median_minutes = 360,
                     .sigma = 0.9,
                     .deadline_hours = 24}};
    load.jobs_per_hour = 330.0 / 24;
    load.days = 2;
    load.large_accelerators = 16;
    load.running_at_start = has_services ? 400 : 7'400;
    load.services = has_services ? 7'000 : 0;
    return load;
}

} // namespace

std::vector<load> measured_loads()
{
    return {load_a(), load_b(), load_c(false), load_c(true)};
}

} // namespace sequoiaroute::benchmarks
