#pragma once

#include "core/result.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::operators {

/// The keys of the operators, read from a file with lines "NAME KEY".
class operator_keys
{
public:
    /// Reads a key file. Error messages never contain keys.
    /// @param path the file
    /// @return the keys, or bad_settings with file and line
    static core::result<operator_keys> create(std::string const& path);

    /// Parses the text of a key file.
    /// @param file_name the name of the file in errors
    /// @param text the text; lines that are empty or start with # are skipped
    /// @return as create()
    static core::result<operator_keys>
    create_from_text(std::string_view file_name, std::string_view text);

    /// Finds the operator of a request. Every key is compared, each in constant
    /// time, so that response times reveal nothing about the keys.
    /// @param authorization the value "Bearer KEY" of the header Authorization
    /// @return the operator's name, or nothing if the key is unknown
    std::optional<std::string>
    find_operator(std::string_view authorization) const;

private:
    struct operator_key
    {
        std::string name;
        std::string key;
    };

    std::vector<operator_key> keys_;
};

} // namespace sequoiaroute::operators
