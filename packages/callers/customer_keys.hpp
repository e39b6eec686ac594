#pragma once

#include "core/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::callers {

/// The API keys of customers, sent as bearer tokens. Keys never appear in error
/// messages or logs.
class customer_keys
{
public:
    /// Reads a file of lines "CUSTOMER KEY". Empty lines and lines that start
    /// with '#' are ignored. A customer may have several keys, so that keys can
    /// be rotated without an interruption.
    /// @param path the path of the file
    /// @return the keys, or bad_settings with the file and the line
    static core::result<customer_keys> create(std::string const& path);

    /// Reads the content of a key file.
    /// @param file_name the name of the file in error messages
    /// @param text the content
    /// @return as for create()
    static core::result<customer_keys>
    create_from_text(std::string_view file_name, std::string_view text);

    /// Authenticates a request.
    /// @param authorization the value of the Authorization header
    /// @return the customer that the key belongs to, or unauthorized
    core::result<std::string>
    authenticate(std::string_view authorization) const;

private:
    struct key_record
    {
        std::string customer;
        std::string key;
    };

    std::vector<key_record> records_;
};

} // namespace sequoiaroute::callers
