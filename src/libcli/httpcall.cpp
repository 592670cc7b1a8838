#include "httpcall.h"

#include <tuple>

namespace cowslippin {

namespace {

bool
isUnreserved(char c)
{
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool isDigit = c >= '0' && c <= '9';
  return isLetter || isDigit || c == '-' || c == '.' || c == '_' || c == '~';
}

} // namespace

bool
operator==(const HttpCall& a, const HttpCall& b)
{
  const auto tied = [](const HttpCall::Fields& f) {
    return std::tie(f.method, f.path, f.query, f.headers, f.body);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

std::string
encodeSegment(const std::string& text)
{
  constexpr char hexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (isUnreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += hexDigits[byte >> 4];
    encoded += hexDigits[byte & 0xf];
  }
  return encoded;
}

} // namespace cowslippin
