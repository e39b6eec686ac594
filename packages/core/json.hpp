#pragma once

#include <cmath>
#include <concepts>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace sequoiaroute::core {

using json = nlohmann::json;

/// Thrown while a document is converted to a value, if a field has a wrong type
/// or its value is out of range. Does not leave the functions of codec.hpp.
class invalid_document : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Integers other than bool.
template <class Type>
concept json_integer = std::integral<Type> && !std::same_as<Type, bool>;

} // namespace sequoiaroute::core

/// Conversion of numbers from JSON. The library's own conversion converts
/// booleans as well, and silently changes numbers that the type cannot hold.
template <sequoiaroute::core::json_integer Integer>
struct nlohmann::adl_serializer<Integer>
{
    template <class Document>
    static void to_json(Document& document, Integer value)
    {
        nlohmann::to_json(document, value);
    }

    /// @throws invalid_document if the document is no number, or one that is
    ///         out of the range of the type
    static void from_json(json const& document, Integer& value)
    {
        using sequoiaroute::core::invalid_document;
        if (document.is_number_unsigned()) {
            value = narrow(*document.get_ptr<json::number_unsigned_t const*>());
        } else if (document.is_number_integer()) {
            value = narrow(*document.get_ptr<json::number_integer_t const*>());
        } else if (document.is_number_float()) {
            auto const number =
                std::trunc(*document.get_ptr<json::number_float_t const*>());
            // The bounds are powers of two or zero, hence exact; a NaN is not
            // within them.
            constexpr auto digits = std::numeric_limits<Integer>::digits;
            auto const end = std::ldexp(1.0, digits);
            auto const begin = std::is_signed_v<Integer> ? -end : 0.0;
            if (!(number >= begin && number < end))
                throw invalid_document("a number is out of range");
            value = static_cast<Integer>(number);
        } else {
            throw invalid_document("a value is not a number");
        }
    }

private:
    template <class Source>
    static Integer narrow(Source source)
    {
        if (!std::in_range<Integer>(source)) {
            throw sequoiaroute::core::invalid_document(
                "a number is out of range");
        }
        return static_cast<Integer>(source);
    }
};
