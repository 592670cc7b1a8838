#include "urlencoding.h"

#include <array>
#include <charconv>

namespace cowslippin {

namespace {

constexpr std::size_t escapeLength = 3;
constexpr char hexDigits[] = "0123456789ABCDEF";

std::optional<char>
decodeEscape(std::string_view escape)
{
  if (escape.size() < escapeLength) {
    return std::nullopt;
  }
  unsigned value = 0;
  const char* first = escape.data() + 1;
  const char* last = escape.data() + escapeLength;
  const auto [end, error] = std::from_chars(first, last, value, 16);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

bool
isUnreserved(char c)
{
  constexpr std::string_view marks = "-._~";
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool isDigit = c >= '0' && c <= '9';
  return isLetter || isDigit || marks.find(c) != std::string_view::npos;
}

} // namespace

std::optional<std::string>
decodeQueryText(std::string_view text)
{
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      const auto c = decodeEscape(text.substr(i, escapeLength));
      if (!c) {
        return std::nullopt;
      }
      decoded += *c;
      i += escapeLength - 1;
    } else if (text[i] == '+') {
      decoded += ' ';
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string
percentEncode(std::string_view text)
{
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (isUnreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += hexDigits[byte >> 4U];
    encoded += hexDigits[byte & 0xFU];
  }
  return encoded;
}

} // namespace cowslippin
