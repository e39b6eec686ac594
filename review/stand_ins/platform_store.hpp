#pragma once

#include "http.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

namespace review {

/// The platform's store of rows, as its page describes it. It loses nothing,
/// and answers each call.
class platform_store
{
public:
    /// Serves the calls of a machine on IP:PORT.
    void start(std::string const& ip, std::uint16_t port, std::string machine);

    /// Turns a machine away with 503, while others are served.
    void set_refused(std::string const& machine, bool is_refused);

    /// @return the key of the newest row of a table; empty if there is none
    std::string newest_key(std::string const& table);

    /// Writes a row as the operator does.
    void put(std::string const& table, std::string const& key,
             std::string const& value);

    /// While the store is down, it refuses all calls with 503, and does
    /// nothing.
    void set_down(bool is_down) { is_down_ = is_down; }

    /// @return the decoded value of a row; empty if there is none
    std::string value_of(std::string const& table, std::string const& part,
                         std::string const& key);

private:
    using row_key = std::tuple<std::string, std::string, std::string>;

    struct row
    {
        std::string value; ///< in Base64
        std::uint64_t version = 0;
        bool is_removed = false;
    };

    http_message handle(std::string const& machine,
                        http_message const& request);
    bool is_refused(std::string const& machine) const;
    http_message commit(http_message const& request);
    http_message get(http_message const& request);
    http_message list_parts(http_message const& request);
    http_message feed(std::string const& machine, http_message const& request);

    std::atomic<bool> is_down_{false};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::string> refused_machines_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 1;
    std::mutex parts_mutex_;
    std::map<std::string, std::mutex> part_locks_;
};

} // namespace review
