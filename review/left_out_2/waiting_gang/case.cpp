// A gang that waits behind a long run holds all idle workers, and another job
// that would fit there waits as long.

#include "../../stand_ins_2/deployment.hpp"

#include <algorithm>
#include <iostream>

namespace {

using review::sleep_ms;

constexpr char long_id[] = "00000000000000a1";
constexpr char gang_id[] = "00000000000000b2";
constexpr char job_id[] = "00000000000000c3";
constexpr std::size_t worker_count = 7;

std::string path_of(std::string const& id)
{
    return review::deployment::patient_prefix + id;
}

bool has_begun(review::deployment& system, std::string const& id)
{
    auto const runs = system.all_runs();
    return std::any_of(runs.begin(), runs.end(), [&](auto const& run) {
        return run.task.starts_with(id);
    });
}

std::size_t busy_workers(review::deployment& system)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < worker_count; ++index) {
        if (system.executor_at(index).running_count() > 0)
            ++count;
    }
    return count;
}

int run_case(std::string const& binaries, std::string const& record_path)
{
    review::deployment::options options;
    options.binaries = binaries;
    for (auto const* rack : {"r-1", "r-1", "r-1", "r-2", "r-2", "r-2", "r-3"})
        options.workers.push_back({rack, false});
    review::deployment system(options, record_path);
    if (!system.start())
        return 2;
    if (!system.submit(path_of(long_id),
                       R"({"Spec":"100000","Steps":[{"Count":1,"Cpu":52000,)"
                       R"("MemMb":150000,"Gpu":4,"EstimateMs":100000}]})"))
        return 2;
    if (!review::wait_until(10'000, [&] { return has_begun(system, long_id); }))
        return 2;
    if (review::has_trouble()) {
        std::size_t idle = 0;
        while (system.executor_at(idle).running_count() > 0)
            ++idle;
        system.executor_at(idle).drain(4000);
        if (!review::wait_until(
                20'000, [&] { return system.executor_at(idle).has_left(); }))
            return 2;
        // Until it counts as gone, and longer than ContactMs.
        sleep_ms(10'000);
    }
    // Six members, each with all accelerators of a worker.
    if (!system.submit(path_of(gang_id),
                       R"({"Spec":"20000","Steps":[{"Count":6,"Cpu":52000,)"
                       R"("MemMb":150000,"Gpu":8,"EstimateMs":20000,)"
                       R"("Gang":true}]})"))
        return 2;
    sleep_ms(3000);
    if (!system.submit(path_of(job_id),
                       R"({"Spec":"90000","Steps":[{"Count":1,"Cpu":11000,)"
                       R"("MemMb":59000,"Gpu":1,"EstimateMs":90000}]})"))
        return 2;
    // Traffic ends here. finish_s is 14 s; the job must not be without a run
    // for 3 s after that.
    constexpr std::int64_t finish_ms = 14'000;
    constexpr std::int64_t grace_ms = 3000;
    auto const until = review::now_ms() + finish_ms;
    bool is_begun = review::wait_until(
        finish_ms, [&] { return has_begun(system, job_id); });
    if (review::now_ms() < until)
        sleep_ms(until - review::now_ms());
    system.log().add(std::to_string(busy_workers(system)) +
                     " executors are at work");
    is_begun = is_begun || review::wait_until(grace_ms, [&] {
                   return has_begun(system, job_id);
               });
    system.log().add(std::to_string(busy_workers(system)) +
                     " executors are at work");
    system.state_of(path_of(job_id));
    system.log().add(is_begun ? "held: the job runs"
                              : "BROKEN LOST: nothing of the job ran for 17 s, "
                                "with five idle executors of six");
    return is_begun ? 0 : 1;
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count < 3)
        return 2;
    try {
        auto const result = run_case(arguments[1], arguments[2]);
        std::cout << (result == 0   ? "held\n"
                      : result == 1 ? "broken\n"
                                    : "could not run\n");
        return result;
    } catch (std::exception const& exception) {
        std::cerr << exception.what() << '\n';
        return 2;
    }
}
