#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/result.hpp"
#include "http/http_client.hpp"
#include "targets/urgent_request.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::callers {

/// A request to send to an entry.
struct api_request
{
    std::string request_id; ///< made by the client if it is empty
    std::string service;
    std::string body;
    bool is_unrepeatable = false;
    core::duration time_limit{30'000};
};

/// Talks to the entries over HTTP. Safe against entries that die: request ids
/// are made before anything is sent, and every entry is tried.
class api_client
{
public:
    struct options
    {
        std::vector<std::string> addresses; ///< of entries, IP:PORT
        std::string key;                    ///< bearer key
        /// For exchanges other than urgent requests.
        core::duration time_limit{10'000};
    };

    /// @param client sends the HTTP requests; must outlive this object
    /// @param clock the time; must outlive this object
    /// @param pause blocks the calling thread
    /// @param options the entries and the key
    api_client(http::http_client& client, core::clock const& clock,
               std::function<void(core::duration)> pause, options options);

    /// Sends an urgent request and waits for its answer. After a broken
    /// connection another entry is asked for the result before a repeatable
    /// request is sent again; an unrepeatable one is sent again under its id,
    /// which the entries run at most once.
    /// @param request the request; receives the id if it has none
    /// @return the complete answer, or an error; it says "not run" only if no
    ///         entry can have run the request
    core::result<targets::request_answer> send(api_request& request);

    /// Asks the entries for the result of an earlier request.
    core::result<targets::request_answer> find(std::string_view request_id);

    /// Submits a job. The id is added to the document if it has none, so that
    /// a repeated submission is recognised.
    core::result<core::json> submit_job(core::json job);

    /// Sends an exchange that may be repeated without harm to one entry after
    /// the other until one answers.
    /// @param method the HTTP method
    /// @param path the path, without a query
    /// @param body the body, may be empty
    /// @return the JSON of the response, or its error
    core::result<core::json> exchange(std::string method, std::string path,
                                      std::string body);

private:
    /// How far the sending of one request has come.
    struct sending
    {
        core::time_point deadline;
        bool may_have_run = false;
        core::error last_error;
    };

    core::result<http::http_response> send_to_next(http::http_request request,
                                                   core::duration limit);
    http::http_request make_post(api_request const& request,
                                 core::duration left) const;
    core::result<targets::request_answer> post(api_request const& request,
                                               sending const& state);
    core::result<targets::request_answer> find_once(std::string_view request_id,
                                                    core::duration limit);
    bool recover(api_request const& request, sending& state,
                 core::result<targets::request_answer>& end);
    core::duration left(sending const& state) const;

    http::http_client& client_;
    core::clock const& clock_;
    std::function<void(core::duration)> pause_;
    options options_;
    std::size_t next_address_ = 0;
};

} // namespace sequoiaroute::callers
