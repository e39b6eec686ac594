#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::core {

/// The type of a setting, which decides how its text is checked.
enum class setting_type
{
    text,
    integer,      ///< decimal, not negative
    time,         ///< number, decimals allowed, with unit ms, s, min or h
    size,         ///< number with unit B, KB, MB or GB
    address,      ///< IP:PORT
    address_list, ///< IP:PORT separated by commas; may be empty
};

/// Describes one key that a settings file may hold.
struct setting_description
{
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// The text used when the key is absent; a required key has none.
    std::string default_text;
    bool is_required = false;
};

/// Settings of one process, read from an INI file and checked against the
/// descriptions. Every error names file, line and key.
class settings
{
public:
    /// Reads and checks a file.
    /// @param path the INI file
    /// @param descriptions every key that is allowed
    /// @return the settings, or bad_settings
    static result<settings>
    create(std::string const& path,
           std::vector<setting_description> const& descriptions);

    /// Reads and checks a text in place of a file.
    /// @param file_name the name used in errors
    /// @param text the text of the INI file
    /// @param descriptions every key that is allowed
    /// @return the settings, or bad_settings
    static result<settings>
    create_from_text(std::string_view file_name, std::string_view text,
                     std::vector<setting_description> const& descriptions);

    /// The accessors take a key as "section.key", which must be described with
    /// the type that is asked for.
    std::string const& text(std::string_view key) const;
    std::int64_t integer(std::string_view key) const;
    duration time(std::string_view key) const;
    std::int64_t size_in_bytes(std::string_view key) const;
    std::vector<std::string> addresses(std::string_view key) const;

    /// @return every value by key, for a dump; files of keys are named, their
    ///         content is not part of the settings
    std::map<std::string, std::string, std::less<>> const& values() const
    {
        return values_;
    }

private:
    std::map<std::string, std::string, std::less<>> values_;
};

} // namespace sequoiaroute::core
