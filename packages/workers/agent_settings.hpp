#pragma once

#include "core/result.hpp"
#include "core/settings.hpp"
#include "peers/nng_connection.hpp"
#include "peers/nng_server.hpp"
#include "workers/attempt_registry.hpp"
#include "workers/entry_client.hpp"
#include "workers/gang_beat_sender.hpp"
#include "workers/task_supervisor.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::workers {

/// The settings of one agent (docs/design.md, section 8.3). Unless noted, a
/// member holds the value of the key of the same name in the settings file.
struct agent_settings
{
    std::string agent_id; ///< key agent.id
    peers::target_kind kind = peers::target_kind::executor;
    std::string data_centre;
    std::string rack;
    std::string peer_address; ///< the agent listens here, IP:PORT
    /// The address that other processes connect to: that of a port forwarder
    /// in front of peer_address, or peer_address itself.
    std::string advertised_address;
    std::string executor_address; ///< key executor.address
    std::string service;          ///< the service that the executor provides
    int slots = 0; ///< requests that the executor may run concurrently
    std::string runtime_address; ///< task runtime of the worker
    std::string table_address;
    std::string object_store_address;
    /// Authenticates the connections between processes; the first line of the
    /// file keys.system_file.
    std::string shared_key;
    /// Without an answer from any entry for this long, all tasks are stopped.
    core::duration contact_limit{};
    /// If no entry has had contact with the table or the decider for this
    /// long, all tasks are stopped.
    core::duration authority_limit{};
    /// Time for a last checkpoint when a contact or authority limit is reached.
    core::duration checkpoint_grace{};
    /// Time for the tasks to stop when the agent drains.
    core::duration drain_grace{};
    /// How long a drain waits for results and reports to be delivered.
    core::duration drain_store_limit{};
    /// Timeout of a call to the table, the object store or the task runtime.
    core::duration platform_time_limit{};
    /// Time limit of a write to the table, including the recovery of its
    /// outcome if the answer is lost.
    core::duration write_recovery_limit{};
    /// Period at which gang members send beats to the lead of their gang.
    core::duration gang_beat_period{};
    /// Bytes of unstored results at which new requests are refused.
    std::size_t unstored_result_bytes = 0;
    registry_limits registry;
    supervisor_options supervisor;
    gang_beat_options gang_beats;
    entry_client_options entry_client;
    peers::link_options links;
    peers::server_options server;
    /// All values by their key SECTION.KEY, for the dump; without the content
    /// of the key file.
    std::map<std::string, std::string, std::less<>> values_by_key;

    /// @return every key that the settings file may hold, with its type and
    ///         default
    static std::vector<core::setting_description> descriptions();

    /// Reads the settings file and the key file that it names. Sets the log
    /// level of the process.
    /// @param path the INI file
    /// @return the settings, or bad_settings
    static core::result<agent_settings> create(std::string const& path);

    /// Converts the values of a settings file and reads the key file that they
    /// name. Sets the log level of the process.
    /// @param values the values, which match descriptions()
    /// @param file_name the file name for error messages
    /// @return the settings, or bad_settings
    static core::result<agent_settings>
    create_from(core::settings const& values, std::string_view file_name);
};

} // namespace sequoiaroute::workers
