#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace sequoiaroute::scenarios {

/// The child processes of a test run, by name. The destructor kills those that
/// are still running, each by its process id.
///
/// The functions that act on a process by name throw std::runtime_error if no
/// process of this name is running.
class process_set
{
public:
    /// @param directory an existing directory for the output files, one per
    ///        name with standard output and standard error
    explicit process_set(std::filesystem::path directory);
    process_set(process_set const&) = delete;
    process_set& operator=(process_set const&) = delete;
    ~process_set();

    /// Starts a process. A name can be reused after its process has ended; the
    /// output is then appended to that of the previous process.
    /// @param arguments the path of the executable, then its arguments
    /// @throws std::runtime_error if the name is in use or the process cannot
    ///         be started
    void start(std::string const& name,
               std::vector<std::string> const& arguments);

    /// Sends SIGTERM without waiting; a later stop() waits for the exit.
    void terminate(std::string const& name);

    /// Sends SIGTERM and waits up to 30 s for the exit.
    /// @return the exit status, or 128 plus the signal number if a signal
    ///         terminated the process
    /// @throws std::runtime_error if the process is still running after 30 s
    int stop(std::string const& name);

    /// Sends a signal without waiting for its effect.
    void send_signal(std::string const& name, int signal_number);

    /// Reaps a process if it has ended; its name is free afterwards.
    /// @return the exit status as from stop(), or nothing while it runs
    std::optional<int> poll_exit_status(std::string const& name);

    /// Sends SIGKILL and waits for the exit.
    void kill(std::string const& name);

    /// Sends SIGSTOP and waits until the process is stopped.
    /// @throws std::runtime_error also if the process ends instead
    void freeze(std::string const& name);

    /// Sends SIGCONT to a frozen process.
    void thaw(std::string const& name);

    /// Reaps the processes that have ended without stop(), kill() or
    /// poll_exit_status(). A second call doesn't return them again.
    /// @return for each its name and exit status, as a text to print
    std::vector<std::string> reap_unexpected_exits();

    /// @return the process id of a running process
    pid_t running_process_id(std::string const& name) const;

    /// Prints the last 60 lines of the output of every process, running or
    /// ended, to standard error.
    void print_output() const;

private:
    std::filesystem::path output_path(std::string_view name) const;

    std::filesystem::path directory_;
    std::map<std::string, pid_t> processes_; ///< -1 after the exit
};

} // namespace sequoiaroute::scenarios
