#pragma once

#include "core/clock.hpp"
#include "core/json.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::core {

// All documents that come from outside of the process are read here. The
// conversion of a document to a value throws json::exception or
// invalid_document; the functions that call it return bad_request instead.

/// The deepest nesting of arrays and objects that is read. The library copies,
/// prints and decodes documents recursively, so that deeper ones could overflow
/// the stack.
constexpr std::size_t max_document_depth = 64;
/// The largest document that is read, in bytes.
constexpr std::size_t max_document_bytes = 33'554'432;
/// The most values of a JSON text, members of objects included. A value takes a
/// hundred bytes, a text of it two.
constexpr std::size_t max_document_values = 131'072;
/// The largest count of something, such as an amount of a resource. Sums over
/// all tasks and workers of a fleet stay within the range of an integer.
constexpr std::int64_t max_count = 1'000'000'000'000;
/// The longest duration, about three hundred years. Sums of several durations
/// and a time stay within the range of a time.
constexpr duration max_document_duration{10'000'000'000'000};
/// The largest factor by which a duration is multiplied.
constexpr double max_factor = 10'000;

/// Encodes a document as MessagePack, the format of messages between processes
/// of the scheduler.
/// @param document the document to encode
/// @return the encoded bytes
std::vector<std::uint8_t> encode(json const& document);

/// Decodes MessagePack.
/// @param bytes the encoded document
/// @return the document, or bad_request if the bytes are not MessagePack or
///         exceed the limits
result<json> decode(std::span<std::uint8_t const> bytes);

/// Parses a JSON text.
/// @param text the text to parse
/// @return the document, or bad_request with the position of the syntax error
///         or the limit that the text exceeds
result<json> parse_json(std::string_view text);

/// Calls a function that converts a document.
/// @tparam Value the type of the value
/// @param document the document to convert
/// @param convert converts the document; may throw json::exception and
///        invalid_document
/// @return the value, or bad_request with the fault, which names a missing
///         field
template <class Value, class Convert>
result<Value> convert_document(json const& document, Convert convert)
{
    try {
        return convert(document);
    } catch (json::exception const& exception) {
        return error{result_code::bad_request, exception.what()};
    } catch (invalid_document const& exception) {
        return error{result_code::bad_request, exception.what()};
    }
}

/// Parses a JSON text and converts the document to a value.
/// @tparam Value the type of the value
/// @param text the text to parse
/// @param convert as for convert_document()
/// @return the value, or bad_request with the fault
template <class Value, class Convert>
result<Value> decode_json(std::string_view text, Convert convert)
{
    auto const document = parse_json(text);
    if (!is_ok(document))
        return failure(document);
    return convert_document<Value>(value(document), convert);
}

/// Converts a document to a typed message.
/// @tparam Message a type with a from_json conversion of nlohmann::json
/// @param document the document to convert
/// @return the message, or bad_request with the fault
template <class Message>
result<Message> message_from(json const& document)
{
    return convert_document<Message>(
        document, [](json const& source) { return source.get<Message>(); });
}

/// @return the value of a field; `fallback` if it is missing
/// @throws json::exception or invalid_document if the field has another type or
///         is out of range
template <class Value>
Value field_or(json const& object, char const* name, Value fallback)
{
    auto const found = object.find(name);
    return found == object.end() ? fallback : found->template get<Value>();
}

/// @return the value of a field; `fallback` if it is missing, has another type
///         or is out of range, or if the document is no object
template <class Value>
Value valid_field_or(json const& document, char const* name, Value fallback)
{
    auto const found = document.find(name);
    if (found == document.end())
        return fallback;
    auto const decoded = message_from<Value>(*found);
    return is_ok(decoded) ? value(decoded) : fallback;
}

/// @return the document, to iterate over its elements; the library would also
///         iterate over values that are no arrays
/// @throws invalid_document unless it is an array
json const& elements_of(json const& document);

/// @return a factor for durations
/// @throws invalid_document unless it is a number from 0 to max_factor
double to_factor(json const& document);

/// @return a percentage, limited to the range from 0 to 100
/// @throws invalid_document unless it is a number
std::int32_t to_percent(json const& document);

/// @return a count
/// @throws invalid_document unless it is a number from 0 to max_count
std::int64_t to_count(json const& document);

/// @return a duration, from a number of milliseconds
/// @throws invalid_document unless it is a number from 0 to
///         max_document_duration
duration to_duration(json const& document);

/// @return the value of a field in milliseconds; zero if it is missing
/// @throws as to_duration()
duration duration_field(json const& object, char const* name);

} // namespace sequoiaroute::core
