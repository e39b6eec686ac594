// More runs on one executor than the report of its agent has room for.

#include "../../stand_ins_2/deployment.hpp"

#include <iostream>

namespace {

constexpr char first_job[] = "/patient/00000000000000f0";
constexpr char second_job[] = "/patient/00000000000000f1";
constexpr char body[] =
    R"({"Spec":"15000","Steps":[{"Count":1000,"Cpu":50,"MemMb":10,)"
    R"("EstimateMs":15000,"RequiredLabel":"r-1"}]})";

/// Writes how many runs there are, by how they ended.
void log_runs(review::deployment& system)
{
    std::map<std::string, int> counts;
    for (auto const& run : system.all_runs())
        ++counts[run.how.empty() ? "at work" : run.how];
    std::string line = "runs:";
    for (auto const& [how, count] : counts)
        line += " " + how + " " + std::to_string(count);
    system.log().add(line);
}

int run_case(std::string const& binaries, std::string const& record_path)
{
    review::deployment::options options;
    options.binaries = binaries;
    options.workers = {{"r-1", false}, {"r-2", false}, {"r-2", false}};
    review::deployment system(options, record_path);
    if (!system.start() || !system.submit(first_job, body))
        return 2;
    if (review::has_trouble() && !system.submit(second_job, body))
        return 2;
    constexpr int seconds = 80;
    bool is_completed = false;
    for (int second = 0; second < seconds && !is_completed; ++second) {
        review::sleep_ms(1000);
        log_runs(system);
        is_completed = system.state_of(first_job) == "completed";
    }
    std::cout << (is_completed ? "completed\n" : "not completed in 80 s\n");
    return is_completed ? 0 : 1;
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count < 3)
        return 2;
    try {
        return run_case(arguments[1], arguments[2]);
    } catch (std::exception const& exception) {
        std::cerr << exception.what() << '\n';
        return 2;
    }
}
