#include "core/codec.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::core {

namespace {

error make_error(std::string message)
{
    return {result_code::bad_request, std::move(message)};
}

error depth_error()
{
    return make_error(
        fmt::format("nested deeper than {} levels", max_document_depth));
}

/// The size of the document that a parser would make of a JSON text.
struct document_shape
{
    std::size_t depth = 0; ///< the deepest nesting of arrays and objects
    std::size_t value_count = 1;
};

/// @return the shape of a text; faults of the text are left to the parser
document_shape measure(std::string_view text)
{
    document_shape shape;
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        char const character = text[index];
        if (is_in_string) {
            if (character == '\\')
                ++index;
            else if (character == '"')
                is_in_string = false;
        } else if (character == '"') {
            is_in_string = true;
        } else if (character == ',') {
            ++shape.value_count;
        } else if (character == '[' || character == '{') {
            ++shape.value_count;
            shape.depth = std::max(shape.depth, ++depth);
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return shape;
}

/// Receives the events of a parser, and ends the parsing of a document that is
/// nested too deeply.
class depth_check final : public json::json_sax_t
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(json::number_integer_t) override { return true; }
    bool number_unsigned(json::number_unsigned_t) override { return true; }
    bool number_float(json::number_float_t, json::string_t const&) override
    {
        return true;
    }
    bool string(json::string_t&) override { return true; }
    bool binary(json::binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(json::string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, std::string const&,
                     json::exception const&) override
    {
        return false;
    }

    bool has_failed() const { return has_failed_; }

private:
    bool enter()
    {
        has_failed_ = ++depth_ > max_document_depth;
        return !has_failed_;
    }

    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
    bool has_failed_ = false;
};

} // namespace

std::vector<std::uint8_t> encode(json const& document)
{
    return json::to_msgpack(document);
}

result<json> decode(std::span<std::uint8_t const> bytes)
{
    if (bytes.size() > max_document_bytes)
        return make_error("the message is too large");
    depth_check check;
    bool const is_valid = json::sax_parse(bytes.begin(), bytes.end(), &check,
                                          json::input_format_t::msgpack);
    if (check.has_failed())
        return depth_error();
    if (!is_valid)
        return make_error("message is not MessagePack");
    return json::from_msgpack(bytes.begin(), bytes.end(), true, false);
}

result<json> parse_json(std::string_view text)
{
    if (text.size() > max_document_bytes)
        return make_error("the text is too large");
    auto const shape = measure(text);
    if (shape.depth > max_document_depth)
        return depth_error();
    if (shape.value_count > max_document_values) {
        return make_error(
            fmt::format("more than {} values", max_document_values));
    }
    try {
        return json::parse(text);
    } catch (json::exception const& exception) {
        return make_error(exception.what());
    }
}

json const& elements_of(json const& document)
{
    if (!document.is_array())
        throw invalid_document("a value is no array");
    return document;
}

double to_factor(json const& document)
{
    if (!document.is_number())
        throw invalid_document("a factor is no number");
    auto const factor = document.get<double>();
    if (!(factor >= 0 && factor <= max_factor))
        throw invalid_document(fmt::format("{} is no valid factor", factor));
    return factor;
}

std::int32_t to_percent(json const& document)
{
    auto const percent = document.get<std::int64_t>();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(percent, 0, 100));
}

std::int64_t to_count(json const& document)
{
    auto const count = document.get<std::int64_t>();
    if (count < 0 || count > max_count)
        throw invalid_document(fmt::format("{} is no valid count", count));
    return count;
}

duration to_duration(json const& document)
{
    duration const time(document.get<std::int64_t>());
    if (time < duration(0) || time > max_document_duration) {
        throw invalid_document(
            fmt::format("{} ms is no valid duration", time.count()));
    }
    return time;
}

duration duration_field(json const& object, char const* name)
{
    auto const found = object.find(name);
    return found == object.end() ? duration(0) : to_duration(*found);
}

} // namespace sequoiaroute::core
