#pragma once

#include "core/codec.hpp"

#include <string>

#include <lua.hpp>

namespace sequoiaroute::scenarios {

/// Pushes a JSON value onto the Lua stack; null becomes nil.
void push_json(lua_State* state, core::json const& value);

/// Converts the Lua value at a stack index to JSON. A table with the key 1
/// becomes an array, every other table an object; nil becomes null.
/// @param index an absolute stack index
/// @throws std::runtime_error for a value without a JSON form, such as a
///         function
core::json to_json(lua_State* state, int index);

/// Reads an argument of a Lua function; a number is converted to a string.
/// @throws std::runtime_error if the argument is neither a string nor a number
std::string string_argument(lua_State* state, int index);

/// Reads an argument of a Lua function; a fraction is cut off.
/// @throws std::runtime_error if the argument is not a number
long long integer_argument(lua_State* state, int index);

} // namespace sequoiaroute::scenarios
