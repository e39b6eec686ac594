#include "scenarios/process_set.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sequoiaroute::scenarios {

namespace {

using namespace std::chrono_literals;

constexpr auto stop_timeout = 30s;
constexpr auto poll_period = 5ms;
constexpr std::size_t printed_line_count = 60;

int exit_status(int wait_status)
{
    return WIFSIGNALED(wait_status) ? 128 + WTERMSIG(wait_status)
                                    : WEXITSTATUS(wait_status);
}

} // namespace

process_set::process_set(std::filesystem::path directory)
    : directory_(std::move(directory))
{
}

process_set::~process_set()
{
    for (auto const& [name, process_id] : processes_) {
        if (process_id < 0)
            continue;
        ::kill(process_id, SIGKILL);
        waitpid(process_id, nullptr, 0);
    }
}

void process_set::start(std::string const& name,
                        std::vector<std::string> const& arguments)
{
    if (auto const existing = processes_.find(name);
        existing != processes_.end() && existing->second >= 0)
        throw std::runtime_error(
            fmt::format("process {} is already running", name));
    std::vector<char*> argument_pointers;
    argument_pointers.reserve(arguments.size() + 1);
    for (auto const& argument : arguments)
        argument_pointers.push_back(const_cast<char*>(argument.c_str()));
    argument_pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_path(name).c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The kernel sends SIGHUP to a process group that becomes orphaned while
    // one of its members is stopped. A group per process confines this to the
    // frozen process.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    pid_t process_id = -1;
    int const error_number =
        posix_spawn(&process_id, argument_pointers.front(), &actions,
                    &attributes, argument_pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error_number != 0)
        throw std::system_error(
            error_number, std::generic_category(),
            fmt::format("cannot start {}", arguments.front()));
    processes_[name] = process_id;
}

void process_set::terminate(std::string const& name)
{
    ::kill(running_process_id(name), SIGTERM);
}

void process_set::send_signal(std::string const& name, int signal_number)
{
    ::kill(running_process_id(name), signal_number);
}

std::optional<int> process_set::poll_exit_status(std::string const& name)
{
    int status = 0;
    if (waitpid(running_process_id(name), &status, WNOHANG) == 0)
        return std::nullopt;
    processes_[name] = -1;
    return exit_status(status);
}

int process_set::stop(std::string const& name)
{
    auto const process_id = running_process_id(name);
    ::kill(process_id, SIGTERM);
    auto const deadline = std::chrono::steady_clock::now() + stop_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        int status = 0;
        if (waitpid(process_id, &status, WNOHANG) == process_id) {
            processes_[name] = -1;
            return exit_status(status);
        }
        std::this_thread::sleep_for(poll_period);
    }
    throw std::runtime_error(fmt::format("process {} did not end within {} s",
                                         name, stop_timeout.count()));
}

void process_set::kill(std::string const& name)
{
    auto const process_id = running_process_id(name);
    ::kill(process_id, SIGKILL);
    waitpid(process_id, nullptr, 0);
    processes_[name] = -1;
}

void process_set::freeze(std::string const& name)
{
    auto const process_id = running_process_id(name);
    ::kill(process_id, SIGSTOP);
    // The threads may run on for a moment after kill() returns, so wait for
    // the stop to take effect.
    int status = 0;
    waitpid(process_id, &status, WUNTRACED);
    if (WIFSTOPPED(status))
        return;
    processes_[name] = -1;
    throw std::runtime_error(fmt::format("process {} ended by itself (status "
                                         "{})",
                                         name, exit_status(status)));
}

void process_set::thaw(std::string const& name)
{
    ::kill(running_process_id(name), SIGCONT);
}

std::vector<std::string> process_set::reap_unexpected_exits()
{
    std::vector<std::string> ended;
    for (auto& [name, process_id] : processes_) {
        int status = 0;
        if (process_id < 0 ||
            waitpid(process_id, &status, WNOHANG) != process_id)
            continue;
        process_id = -1;
        ended.push_back(
            fmt::format("{} (status {})", name, exit_status(status)));
    }
    return ended;
}

void process_set::print_output() const
{
    for (auto const& [name, process_id] : processes_) {
        std::ifstream file(output_path(name));
        std::deque<std::string> lines;
        for (std::string line; std::getline(file, line);) {
            lines.push_back(std::move(line));
            if (lines.size() > printed_line_count)
                lines.pop_front();
        }
        std::fprintf(stderr, "--- output of %s, last %zu lines\n", name.c_str(),
                     lines.size());
        for (auto const& line : lines)
            std::fprintf(stderr, "%s\n", line.c_str());
    }
}

pid_t process_set::running_process_id(std::string const& name) const
{
    auto const found = processes_.find(name);
    if (found == processes_.end() || found->second < 0)
        throw std::runtime_error(fmt::format("no process {} is running", name));
    return found->second;
}

std::filesystem::path process_set::output_path(std::string_view name) const
{
    return directory_ / fmt::format("{}.output", name);
}

} // namespace sequoiaroute::scenarios
