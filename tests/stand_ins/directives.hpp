#pragma once

#include <charconv>
#include <map>
#include <sstream>
#include <string>

namespace sequoiaroute::stand_ins {

/// Parses the directives in a request body or a task command, which tell a
/// stand-in how to behave: words such as "run_ms=500 fail", separated by white
/// space, each a name with an optional value.
class directives
{
public:
    explicit directives(std::string const& text)
    {
        std::istringstream words(text);
        for (std::string word; words >> word;) {
            auto const separator = word.find('=');
            values_[word.substr(0, separator)] =
                separator == std::string::npos ? ""
                                               : word.substr(separator + 1);
        }
    }

    /// @return whether the directive is present, with or without a value
    bool has(std::string const& name) const { return values_.contains(name); }

    /// @return the value of a directive, empty if it has none or is absent
    std::string text(std::string const& name) const
    {
        auto const found = values_.find(name);
        return found == values_.end() ? "" : found->second;
    }

    /// @return the value of a directive as a number; 0 if it is absent, or has
    ///         no value or one that is not a number
    int number(std::string const& name) const
    {
        auto const value = text(name);
        int result = 0;
        std::from_chars(value.data(), value.data() + value.size(), result);
        return result;
    }

private:
    std::map<std::string, std::string> values_;
};

} // namespace sequoiaroute::stand_ins
