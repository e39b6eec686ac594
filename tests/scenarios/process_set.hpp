#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace sequoiaroute::scenarios {

/// The processes that a scenario has started, by name. All of them are ended,
/// each by its id, when this object is destroyed.
class process_set
{
public:
    /// @param directory where the output of each process is written
    explicit process_set(std::filesystem::path directory);
    process_set(process_set const&) = delete;
    process_set& operator=(process_set const&) = delete;
    ~process_set();

    /// Starts a process. A name can be used again after its process has ended.
    /// @throws std::runtime_error if the process cannot be started
    void start(std::string const& name,
               std::vector<std::string> const& arguments);

    /// Sends SIGTERM; stop() then waits for the end.
    void terminate(std::string const& name);

    /// Sends SIGTERM and waits for the end.
    /// @return the exit status; 128 plus the signal if a signal ended it
    /// @throws std::runtime_error if the process doesn't end in time
    int stop(std::string const& name);

    /// Sends any signal to a running process.
    void send_signal(std::string const& name, int signal_number);

    /// @return the exit status of a process that has ended; nothing while it
    ///         runs
    std::optional<int> poll_exit_status(std::string const& name);

    /// Sends SIGKILL and waits for the end.
    void kill(std::string const& name);

    /// Sends SIGSTOP and waits until the process has stopped.
    void freeze(std::string const& name);

    /// Sends SIGCONT.
    void thaw(std::string const& name);

    /// @return the names of processes that ended without stop() or kill()
    std::vector<std::string> reap_unexpected_exits();

    /// @return the process id of a running process
    pid_t running(std::string const& name) const;

    /// Prints the end of the output of every process to standard error.
    void print_output() const;

private:
    std::filesystem::path output_of(std::string_view name) const;

    std::filesystem::path directory_;
    std::map<std::string, pid_t> processes_; ///< -1 for one that has ended
};

} // namespace sequoiaroute::scenarios
