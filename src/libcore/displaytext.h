#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslippin {

/// Maximum length, in bytes, of a value that another program wrote when a
/// problem shows it.
constexpr std::size_t maxDisplayBytes = 80;

/// Whether the bytes are well-formed UTF-8 (RFC 3629).
bool
isUtf8(std::string_view bytes);

/// Text for a problem or a log line, from bytes that another program may have
/// written. The result is UTF-8 of at most `maxBytes` bytes; a longer text is
/// cut and ends in "...". Each byte that isn't part of a character is replaced
/// by U+FFFD. `maxBytes` must be at least 3.
std::string
displayText(std::string_view bytes, std::size_t maxBytes = maxDisplayBytes);

/// The same for a string, which is not copied if it is such a text already.
std::string
boundedText(std::string text, std::size_t maxBytes);

} // namespace cowslippin
