// A job whose data rack has one worker left, which a lasting task fills.

#include "../stand_ins_2/deployment.hpp"

#include <algorithm>
#include <iostream>

namespace {

using review::sleep_ms;

constexpr char lasting_job[] = "/patient/00000000000000a1";
constexpr char job[] = "/patient/00000000000000b2";
constexpr char job_task[] = "00000000000000b2.0.0.0";

bool has_begun(review::deployment& system, std::string const& task)
{
    auto const runs = system.all_runs();
    return std::any_of(runs.begin(), runs.end(),
                       [&](auto const& run) { return run.task == task; });
}

int run_case(std::string const& binaries, std::string const& record_path)
{
    review::deployment::options options;
    options.binaries = binaries;
    for (auto const* rack : {"r-1", "r-1", "r-2", "r-2", "r-3", "r-3"})
        options.workers.push_back({rack, false});
    review::deployment system(options, record_path);
    if (!system.start())
        return 2;
    // It lasts, and takes one whole worker of rack r-1.
    if (!system.submit(lasting_job,
                       R"({"Spec":"600000","Steps":[{"Count":1,"Cpu":52000,)"
                       R"("MemMb":150000,"Gpu":8,"EstimateMs":600000,)"
                       R"("LongRunning":true,"Affinity":"r-1"}]})"))
        return 2;
    if (!review::wait_until(10'000, [&] {
            return system.executor_at(0).running_count() +
                       system.executor_at(1).running_count() ==
                   1;
        }))
        return 2;
    std::size_t const idle = system.executor_at(0).running_count() == 0 ? 0 : 1;
    sleep_ms(1000);
    if (review::has_trouble()) {
        system.executor_at(idle).drain(4000);
        if (!review::wait_until(
                20'000, [&] { return system.executor_at(idle).has_left(); }))
            return 2;
    }
    // Longer than ContactMs.
    sleep_ms(10'000);
    if (!system.submit(job, R"({"Spec":"2000","Steps":[{"Count":1,"Cpu":52000,)"
                            R"("MemMb":150000,"Gpu":8,"EstimateMs":2000,)"
                            R"("Affinity":"r-1"}]})"))
        return 2;
    // Traffic ends here. finish_s is 14 s; the job must not be without a run
    // for 3 s after that.
    constexpr std::int64_t finish_ms = 14'000;
    constexpr std::int64_t grace_ms = 3000;
    bool const is_begun = review::wait_until(
        finish_ms + grace_ms, [&] { return has_begun(system, job_task); });
    system.state_of(job);
    if (is_begun) {
        review::wait_until(10'000,
                           [&] { return system.state_of(job) == "completed"; });
    }
    system.log().add(is_begun ? "held: the job has run"
                              : "BROKEN LOST: nothing of the job ran for 17 s, "
                                "with four idle executors");
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
