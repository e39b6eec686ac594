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

constexpr auto stop_limit = 30s;
constexpr auto wait_period = 5ms;
constexpr std::size_t printed_lines = 60;

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
    for (auto const& [name, process] : processes_) {
        if (process < 0)
            continue;
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
}

void process_set::start(std::string const& name,
                        std::vector<std::string> const& arguments)
{
    if (auto const known = processes_.find(name);
        known != processes_.end() && known->second >= 0)
        throw std::runtime_error(
            fmt::format("process {} is already running", name));
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto const& argument : arguments)
        pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_of(name).c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The kernel hangs up a whole process group that becomes orphaned while
    // one of its members is stopped, so a frozen process gets its own group.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    pid_t process = -1;
    int const fault = posix_spawn(&process, pointers.front(), &actions,
                                  &attributes, pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (fault != 0)
        throw std::system_error(fault, std::generic_category(),
                                fmt::format("start {}", arguments.front()));
    processes_[name] = process;
}

void process_set::terminate(std::string const& name)
{
    ::kill(running(name), SIGTERM);
}

void process_set::send_signal(std::string const& name, int signal_number)
{
    ::kill(running(name), signal_number);
}

std::optional<int> process_set::poll_exit_status(std::string const& name)
{
    int status = 0;
    if (waitpid(running(name), &status, WNOHANG) == 0)
        return std::nullopt;
    processes_[name] = -1;
    return exit_status(status);
}

int process_set::stop(std::string const& name)
{
    auto const process = running(name);
    ::kill(process, SIGTERM);
    auto const deadline = std::chrono::steady_clock::now() + stop_limit;
    while (std::chrono::steady_clock::now() < deadline) {
        int status = 0;
        if (waitpid(process, &status, WNOHANG) == process) {
            processes_[name] = -1;
            return exit_status(status);
        }
        std::this_thread::sleep_for(wait_period);
    }
    throw std::runtime_error(fmt::format("process {} did not end within {} s",
                                         name, stop_limit.count()));
}

void process_set::kill(std::string const& name)
{
    auto const process = running(name);
    ::kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    processes_[name] = -1;
}

void process_set::freeze(std::string const& name)
{
    auto const process = running(name);
    ::kill(process, SIGSTOP);
    // The threads of the process go on for a moment after the signal is sent.
    int status = 0;
    waitpid(process, &status, WUNTRACED);
    if (WIFSTOPPED(status))
        return;
    processes_[name] = -1;
    throw std::runtime_error(fmt::format("process {} ended by itself (status "
                                         "{})",
                                         name, exit_status(status)));
}

void process_set::thaw(std::string const& name)
{
    ::kill(running(name), SIGCONT);
}

std::vector<std::string> process_set::reap_unexpected_exits()
{
    std::vector<std::string> ended;
    for (auto& [name, process] : processes_) {
        int status = 0;
        if (process < 0 || waitpid(process, &status, WNOHANG) != process)
            continue;
        process = -1;
        ended.push_back(
            fmt::format("{} (status {})", name, exit_status(status)));
    }
    return ended;
}

void process_set::print_output() const
{
    for (auto const& [name, process] : processes_) {
        std::ifstream file(output_of(name));
        std::deque<std::string> lines;
        for (std::string line; std::getline(file, line);) {
            lines.push_back(std::move(line));
            if (lines.size() > printed_lines)
                lines.pop_front();
        }
        std::fprintf(stderr, "--- output of %s, last %zu lines\n", name.c_str(),
                     lines.size());
        for (auto const& line : lines)
            std::fprintf(stderr, "%s\n", line.c_str());
    }
}

pid_t process_set::running(std::string const& name) const
{
    auto const found = processes_.find(name);
    if (found == processes_.end() || found->second < 0)
        throw std::runtime_error(fmt::format("no process {} is running", name));
    return found->second;
}

std::filesystem::path process_set::output_of(std::string_view name) const
{
    return directory_ / fmt::format("{}.output", name);
}

} // namespace sequoiaroute::scenarios
