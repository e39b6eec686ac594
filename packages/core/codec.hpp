#pragma once

#include "core/result.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace sequoiaroute::core {

using json = nlohmann::json;

/// Encodes a document as MessagePack, the format of messages between processes
/// of the scheduler.
/// @param document the document to encode
/// @return the encoded bytes
std::vector<std::uint8_t> encode(json const& document);

/// Decodes MessagePack.
/// @param bytes the encoded document
/// @return the document, or bad_request if the bytes are not MessagePack
result<json> decode(std::span<std::uint8_t const> bytes);

/// Parses a JSON text.
/// @param text the text to parse
/// @return the document, or bad_request with the position of the syntax error
result<json> parse_json(std::string_view text);

/// Parses a JSON text and converts the document to a value.
/// @tparam Value the type of the value
/// @param text the text to parse
/// @param convert converts the document; may throw json::exception
/// @return the value, or bad_request with the message of the json::exception,
///         which names a missing field
template <class Value, class Convert>
result<Value> decode_json(std::string_view text, Convert convert)
{
    try {
        return convert(json::parse(text));
    } catch (json::exception const& exception) {
        return error{result_code::bad_request, exception.what()};
    }
}

/// Converts a document to a typed message.
/// @tparam Message a type with a from_json conversion of nlohmann::json
/// @param document the document to convert
/// @return the message, or bad_request with the message of the
///         json::exception, which names a missing field
template <class Message>
result<Message> message_from(json const& document)
{
    try {
        return document.get<Message>();
    } catch (json::exception const& exception) {
        return error{result_code::bad_request, exception.what()};
    }
}

} // namespace sequoiaroute::core
