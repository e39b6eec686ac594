#include "scenarios/lua_values.hpp"

#include <stdexcept>

namespace sequoiaroute::scenarios {

namespace {

core::json table_to_json(lua_State* state, int index)
{
    bool const is_array = lua_rawlen(state, index) > 0;
    auto document = is_array ? core::json::array() : core::json::object();
    if (is_array) {
        auto const length = static_cast<lua_Integer>(lua_rawlen(state, index));
        for (lua_Integer position = 1; position <= length; ++position) {
            lua_rawgeti(state, index, position);
            document.push_back(to_json(state, lua_gettop(state)));
            lua_pop(state, 1);
        }
        return document;
    }
    lua_pushnil(state);
    while (lua_next(state, index) != 0) {
        // lua_tostring converts a numeric key in place, which would break
        // lua_next, so it is applied to a copy.
        lua_pushvalue(state, -2);
        std::string const key = lua_tostring(state, -1);
        lua_pop(state, 1);
        document[key] = to_json(state, lua_gettop(state));
        lua_pop(state, 1);
    }
    return document;
}

} // namespace

void push_json(lua_State* state, core::json const& value)
{
    luaL_checkstack(state, 4, nullptr);
    if (value.is_boolean()) {
        lua_pushboolean(state, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(state, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(state, value.get<lua_Number>());
    } else if (value.is_string()) {
        auto const& text = value.get_ref<std::string const&>();
        lua_pushlstring(state, text.data(), text.size());
    } else if (value.is_array()) {
        lua_newtable(state);
        lua_Integer position = 0;
        for (auto const& item : value) {
            push_json(state, item);
            lua_rawseti(state, -2, ++position);
        }
    } else if (value.is_object()) {
        lua_newtable(state);
        for (auto const& [key, item] : value.items()) {
            push_json(state, item);
            lua_setfield(state, -2, key.c_str());
        }
    } else {
        lua_pushnil(state);
    }
}

core::json to_json(lua_State* state, int index)
{
    switch (lua_type(state, index)) {
    case LUA_TNONE:
    case LUA_TNIL:
        return nullptr;
    case LUA_TBOOLEAN:
        return lua_toboolean(state, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(state, index) != 0)
            return lua_tointeger(state, index);
        return lua_tonumber(state, index);
    case LUA_TSTRING:
        return string_argument(state, index);
    case LUA_TTABLE:
        return table_to_json(state, index);
    default:
        throw std::runtime_error("a value cannot be converted to JSON");
    }
}

std::string string_argument(lua_State* state, int index)
{
    if (lua_isstring(state, index) == 0)
        throw std::runtime_error("argument " + std::to_string(index) +
                                 " must be a text string");
    std::size_t length = 0;
    char const* const text = lua_tolstring(state, index, &length);
    return {text, length};
}

long long integer_argument(lua_State* state, int index)
{
    if (lua_isnumber(state, index) == 0)
        throw std::runtime_error("argument " + std::to_string(index) +
                                 " must be a number");
    return static_cast<long long>(lua_tonumber(state, index));
}

} // namespace sequoiaroute::scenarios
