#pragma once

#include "core/codec.hpp"
#include "core/counters.hpp"
#include "http/http_server.hpp"
#include "stand_ins/journal.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace sequoiaroute::stand_ins {

/// The control interface of a stand-in: its journal, its counters and the
/// faults that a scenario has injected. The faults are a JSON document; they
/// are read by JSON pointers such as "/table/down". Can be used by several
/// threads at once.
class control
{
public:
    /// Serves GET /control/journal, GET /control/counters and POST
    /// /control/faults. A posted document is applied to the faults as a JSON
    /// merge patch, so null removes a fault.
    /// @param server the server to add the routes to
    void serve(http::http_server& server);

    /// @return the number at a JSON pointer, 1 for true, 0 if it is absent or
    ///         something else
    int fault_number(std::string const& pointer) const;

    /// @return the string at a JSON pointer, empty if it is absent or something
    ///         else
    std::string fault_text(std::string const& pointer) const;

    /// Decrements a fault that is a number of calls to affect.
    /// @return whether it was above 0, that is, whether this call is affected
    bool consume_fault(std::string const& pointer);

    /// Sleeps for the fault delay_ms of a section, then while its fault frozen
    /// is set.
    /// @param section the JSON pointer of a part of the stand-in, such as
    ///        "/table"
    void apply_delay(std::string const& section) const;

    /// @return the journal of this stand-in
    journal& event_journal() { return journal_; }

    /// @return counters of events that the journal does not record, such as
    ///         reads
    core::counters& counters() { return counters_; }

private:
    /// @return the value at a JSON pointer, null if it is absent
    core::json fault_at(std::string const& pointer) const;

    journal journal_;
    core::counters counters_;
    mutable std::mutex mutex_;
    core::json faults_ = core::json::object();
};

/// Returns a response with a JSON body.
http::http_response json_response(core::json const& document, int status = 200);

/// Returns an HTTP handler that parses the request body as JSON. A body that is
/// malformed or lacks a field that the handler needs is answered with 400.
http::http_handler
json_handler(std::function<http::http_response(core::json const&)> handler);

/// Starts the HTTP server of a stand-in. On failure it prints the error and
/// exits the process with status 1.
/// @param address IP:PORT
std::unique_ptr<http::http_server> start_server(std::string const& address,
                                                std::size_t thread_count);

/// Blocks until a signal terminates the process.
[[noreturn]] void run_until_killed();

} // namespace sequoiaroute::stand_ins
