#include "clients/tested_process.hpp"

#include "support/free_address.hpp"
#include "support/raw_socket.hpp"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <fmt/format.h>
#include <sys/resource.h>

namespace sequoiaroute::clients {

namespace {

using namespace std::chrono_literals;

constexpr auto start_timeout = 20s;
constexpr auto start_poll_period = 20ms;
constexpr auto idle_timeout = 30s;
constexpr auto idle_window = 500ms;
/// The processor time of an idle process in the window, in clock ticks.
constexpr long idle_ticks = 2;
constexpr core::duration answer_timeout{20'000};
constexpr std::size_t bytes_per_kilobyte = 1024;
constexpr char const* process_name = "tested";

std::filesystem::path make_directory()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "clients-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    return pattern;
}

std::vector<std::string> port_names(program tested_program)
{
    if (tested_program == program::entry)
        return {"customers", "readiness", "entries", "metrics"};
    return {"heartbeats", "notices", "metrics"};
}

/// @return the processor time of a process, in clock ticks
long processor_ticks(pid_t process_id)
{
    std::ifstream file(fmt::format("/proc/{}/stat", process_id));
    std::string text;
    std::getline(file, text);
    // The name of the program, in parentheses, may contain spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int skipped_fields = 11;
    for (int index = 0; index < skipped_fields; ++index)
        fields >> text;
    long user_ticks = 0;
    long system_ticks = 0;
    fields >> user_ticks >> system_ticks;
    return user_ticks + system_ticks;
}

/// Lowers the limit of descriptors for the processes that are started while
/// this object lives.
class descriptor_limit_guard
{
public:
    explicit descriptor_limit_guard(std::size_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &previous_);
        if (limit == 0)
            return;
        auto lowered = previous_;
        lowered.rlim_cur = limit;
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    descriptor_limit_guard(descriptor_limit_guard const&) = delete;
    descriptor_limit_guard& operator=(descriptor_limit_guard const&) = delete;
    ~descriptor_limit_guard() { setrlimit(RLIMIT_NOFILE, &previous_); }

private:
    rlimit previous_{};
};

} // namespace

tested_process::tested_process(program tested_program,
                               std::size_t descriptor_limit)
    : directory_(make_directory()), processes_(directory_)
{
    std::string settings = "[process]\nnode = tested\n";
    if (tested_program == program::agent)
        settings += "address = 127.0.0.1\n";
    settings += "[listen]\n";
    for (auto const& port : port_names(tested_program)) {
        addresses_.emplace_back(port, support::free_address());
        settings += fmt::format("{} = {}\n", port, addresses_.back().second);
    }
    // Nothing listens on these addresses.
    settings += fmt::format("[store]\naddress = {}\n", support::free_address());
    if (tested_program == program::agent) {
        settings +=
            fmt::format("[executor]\naddress = {}\n", support::free_address());
    } else {
        settings += "[bounds]\ngrace = 1500ms\n";
    }
    auto const path = directory_ / "settings.ini";
    std::ofstream(path) << settings;
    std::string const folder = SEQUOIA_BINARIES "/packages/programs/";
    auto const settings_flag = "--settings=" + path.string();
    {
        descriptor_limit_guard const guard(descriptor_limit);
        if (tested_program == program::entry) {
            processes_.start(process_name, {folder + "sequoiaroute", "schedule",
                                            settings_flag});
        } else {
            processes_.start(process_name, {folder + "sequoiaroute-agent",
                                            "--store_orders", settings_flag});
        }
    }
    auto const end = std::chrono::steady_clock::now() + start_timeout;
    for (auto const& port : ports()) {
        while (!answers_ordinary_request(port)) {
            if (std::chrono::steady_clock::now() > end) {
                processes_.print_output();
                throw std::runtime_error(port + " does not answer");
            }
            std::this_thread::sleep_for(start_poll_period);
        }
    }
}

tested_process::~tested_process()
{
    if (is_running())
        processes_.kill(process_name);
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string const& tested_process::address(std::string const& port) const
{
    for (auto const& [name, address] : addresses_) {
        if (name == port)
            return address;
    }
    throw std::runtime_error("no port " + port);
}

std::vector<std::string> tested_process::ports() const
{
    std::vector<std::string> names;
    for (auto const& [name, address] : addresses_)
        names.push_back(name);
    return names;
}

bool tested_process::is_running()
{
    try {
        return !processes_.poll_exit_status(process_name);
    } catch (std::runtime_error const&) {
        return false; // It has been reaped.
    }
}

std::size_t tested_process::peak_memory() const
{
    std::ifstream file(fmt::format(
        "/proc/{}/status", processes_.running_process_id(process_name)));
    constexpr std::string_view key = "VmHWM:";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key))
            return std::stoul(line.substr(key.size())) * bytes_per_kilobyte;
    }
    throw std::runtime_error("the process has no memory");
}

std::size_t tested_process::open_descriptors() const
{
    std::filesystem::directory_iterator const files(fmt::format(
        "/proc/{}/fd", processes_.running_process_id(process_name)));
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

void tested_process::wait_until_idle() const
{
    auto const process_id = processes_.running_process_id(process_name);
    auto const end = std::chrono::steady_clock::now() + idle_timeout;
    auto ticks = processor_ticks(process_id);
    while (std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(idle_window);
        auto const previous_ticks =
            std::exchange(ticks, processor_ticks(process_id));
        if (ticks - previous_ticks <= idle_ticks)
            return;
    }
}

bool tested_process::answers_ordinary_request(std::string const& port) const
{
    try {
        support::raw_socket const connection(address(port));
        connection.send("GET /sequoiaroute/readyz HTTP/1.1\r\n"
                        "Host: ordinary.example\r\n"
                        "Connection: close\r\n\r\n");
        return connection.receive_all(answer_timeout).starts_with("HTTP/1.1 ");
    } catch (std::system_error const&) {
        return false;
    }
}

int tested_process::stop()
{
    return processes_.stop(process_name);
}

} // namespace sequoiaroute::clients
