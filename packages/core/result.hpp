#pragma once

#include "core/result_code.hpp"

#include <string>
#include <utility>
#include <variant>

namespace sequoiaroute::core {

/// An error with its code and a human-readable message.
struct error
{
    result_code code = result_code::internal_error;
    std::string message;
};

/// The value of an operation, or the error with which it failed.
template <class T>
using result = std::variant<T, error>;

/// The result of an operation that has no value to return.
using status = result<std::monostate>;

/// @return the status of a successful operation
inline status success()
{
    return std::monostate{};
}

/// @return true if the result holds a value
template <class T>
bool is_ok(result<T> const& outcome)
{
    return std::holds_alternative<T>(outcome);
}

/// @param outcome a result for which is_ok() is true; otherwise throws
///        std::bad_variant_access
/// @return its value
template <class T>
T& value(result<T>& outcome)
{
    return std::get<T>(outcome);
}

/// @param outcome a result for which is_ok() is true; otherwise throws
///        std::bad_variant_access
/// @return its value
template <class T>
T const& value(result<T> const& outcome)
{
    return std::get<T>(outcome);
}

/// @param outcome a result for which is_ok() is true; otherwise throws
///        std::bad_variant_access
/// @return its value
template <class T>
T&& value(result<T>&& outcome)
{
    return std::get<T>(std::move(outcome));
}

/// @param outcome a result for which is_ok() is false; otherwise throws
///        std::bad_variant_access
/// @return its error
template <class T>
error const& failure(result<T> const& outcome)
{
    return std::get<error>(outcome);
}

/// @return the code of the error, or result_code::ok for a value
template <class T>
result_code code_of(result<T> const& outcome)
{
    return is_ok(outcome) ? result_code::ok : failure(outcome).code;
}

} // namespace sequoiaroute::core

/// Evaluates a result; if it is an error, returns that error from the enclosing
/// function.
#define SEQUOIA_TRY(expression)                                                \
    do {                                                                       \
        if (auto sequoia_outcome = (expression);                               \
            !::sequoiaroute::core::is_ok(sequoia_outcome))                     \
            return ::sequoiaroute::core::failure(sequoia_outcome);             \
    } while (false)

// Helpers of SEQUOIA_TRY_INTO, which make the name of its temporary unique by
// the line number.
#define SEQUOIA_JOIN_TOKENS(left, right) left##right
#define SEQUOIA_JOIN(left, right) SEQUOIA_JOIN_TOKENS(left, right)
#define SEQUOIA_TRY_INTO_NAMED(temporary, declaration, expression)             \
    auto temporary = (expression);                                             \
    if (!::sequoiaroute::core::is_ok(temporary))                               \
        return ::sequoiaroute::core::failure(temporary);                       \
    declaration = ::sequoiaroute::core::value(std::move(temporary))

/// Evaluates a result and initialises the declaration with its value; if it is
/// an error, returns that error from the enclosing function.
#define SEQUOIA_TRY_INTO(declaration, expression)                              \
    SEQUOIA_TRY_INTO_NAMED(SEQUOIA_JOIN(sequoia_outcome_, __LINE__),           \
                           declaration, expression)
