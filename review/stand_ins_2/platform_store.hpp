#pragma once

#include "http.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// The platform's store of rows: transactions, reads of ranges, lists of parts
/// and feeds. It loses nothing and keeps its whole history.
class platform_store
{
public:
    using row_key = std::tuple<std::string, std::string, std::string>;

    /// Writes a row as the operator does.
    void put(std::string const& table, std::string const& key,
             std::string const& value);

    http_response serve(http_request const& request);

private:
    struct change
    {
        row_key key;
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    struct row
    {
        std::string value; ///< in Base64
        std::uint64_t version = 0;
    };

    http_response commit(std::string const& body);
    http_response read(http_request const& request);
    http_response list_parts(http_request const& request);
    http_response poll_feed(http_request const& request);
    void write(row_key const& key, std::string value);
    void remove(row_key const& key);
    nlohmann::json to_json(row_key const& key, row const& item) const;
    http_response make_reply(int status, nlohmann::json body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
};

/// The address at which one process reaches the store. While it is turned away,
/// its calls and the pending ones are answered with 503, and nothing is done.
class store_door
{
public:
    store_door(platform_store& store, std::string const& address);

    std::atomic<bool> is_turned_away{false};

private:
    platform_store& store_;
    http_server server_;
};

/// @return the text in Base64
std::string to_base64(std::string const& text);

} // namespace review
