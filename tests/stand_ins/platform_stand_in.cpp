// A stand-in of the platform: table, object store and control interface at one
// address, and the task runtime of each worker at a port of its own.
#include "stand_ins/object_store_stand_in.hpp"
#include "stand_ins/table_stand_in.hpp"
#include "stand_ins/task_runtime_stand_in.hpp"

#include <memory>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, address, "",
          "IP:PORT of table, object store and control interface");
ABSL_FLAG(int, workers, 0, "number of workers with a task runtime");
ABSL_FLAG(int, first_runtime_port, 0, "port of the task runtime of worker 0");

namespace {

constexpr std::size_t platform_thread_count = 64;
constexpr std::size_t runtime_thread_count = 8;

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace sequoiaroute::stand_ins;
    absl::ParseCommandLine(argument_count, arguments);
    control platform_control;
    table_stand_in table(platform_control);
    object_store_stand_in objects(platform_control);
    auto const server =
        start_server(absl::GetFlag(FLAGS_address), platform_thread_count);
    std::vector<std::unique_ptr<task_runtime_stand_in>> runtimes;
    std::vector<std::unique_ptr<sequoiaroute::http::http_server>> servers;
    for (int index = 0; index < absl::GetFlag(FLAGS_workers); ++index) {
        auto const port = absl::GetFlag(FLAGS_first_runtime_port) + index;
        servers.push_back(start_server(fmt::format("127.0.0.1:{}", port),
                                       runtime_thread_count));
        runtimes.push_back(
            std::make_unique<task_runtime_stand_in>(platform_control, index));
        runtimes.back()->serve(*servers.back());
    }
    table.serve(*server);
    objects.serve(*server);
    platform_control.serve(*server);
    run_until_killed();
}
