#pragma once

#include <string>
#include <string_view>

namespace sequoiaroute::core {

/// Generates a random identifier of 128 bits, unique across processes.
/// @return 32 lower-case hexadecimal digits
std::string make_identifier();

/// Checks whether a text is a valid id, which may become part of an object key
/// or a URL path.
/// @param text the text to check
/// @return true for 1 to 64 letters, digits, '-', '_' and '.', except "." and
///         ".."
bool is_identifier(std::string_view text);

/// Computes the digest that represents a request body or an answer when two
/// are compared. It is not cryptographic.
/// @param bytes the bytes to digest
/// @return the 64-bit XXH3 hash as 16 lower-case hexadecimal digits
std::string digest(std::string_view bytes);

/// Compares two secret keys. The time taken does not depend on where they
/// differ, so it does not help to guess a key.
/// @param left one key
/// @param right the other key
/// @return true if both are equal
bool is_equal_constant_time(std::string_view left, std::string_view right);

} // namespace sequoiaroute::core
