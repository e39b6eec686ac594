#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::core {

/// The type of a setting, by which its text is validated.
enum class setting_type
{
    text,         ///< any text
    integer,      ///< not negative, in decimal digits
    decimal,      ///< decimal number, not negative
    time,         ///< decimal number, not negative, with unit ms, s, min or h
    size,         ///< such a number with unit B, KB, MB or GB (powers of 1000)
    address,      ///< IPv4 address as IP:PORT
    address_list, ///< addresses separated by commas; may be empty
};

/// A key that a settings file may contain.
struct setting_description
{
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// Used if the key is absent; a required key has no default.
    std::string default_text;
    bool is_required = false;
};

/// The settings of a process, read from an INI file and validated against a
/// list of descriptions. Error messages name the file, and the line and the key
/// if they belong to one.
class settings
{
public:
    /// Reads and validates a file.
    /// @param path the INI file
    /// @param descriptions all allowed keys
    /// @return the settings, or bad_settings if the file cannot be read, a line
    ///         is invalid, or a key is unknown, invalid, repeated or missing
    static result<settings>
    create(std::string const& path,
           std::vector<setting_description> const& descriptions);

    /// Like create(), but takes the text of the file.
    /// @param file_name the name of the file in error messages
    /// @param text the text of the INI file
    /// @param descriptions all allowed keys
    /// @return the settings, or bad_settings
    static result<settings>
    create_from_text(std::string_view file_name, std::string_view text,
                     std::vector<setting_description> const& descriptions);

    /// The accessors take a key as "section.key". It must be one of the
    /// descriptions, with the type that the accessor returns. Durations are in
    /// milliseconds; each address of a list is IP:PORT.
    std::string const& text(std::string_view key) const;
    std::int64_t integer(std::string_view key) const;
    double decimal(std::string_view key) const;
    duration time(std::string_view key) const;
    std::int64_t size_in_bytes(std::string_view key) const;
    std::vector<std::string> addresses(std::string_view key) const;

    /// @return the text of every setting by "section.key", for dumps. Of a file
    ///         with secret keys it holds the path only, not the content.
    std::map<std::string, std::string, std::less<>> const& values() const
    {
        return values_;
    }

private:
    std::map<std::string, std::string, std::less<>> values_;
};

} // namespace sequoiaroute::core
