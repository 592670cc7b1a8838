#include "claimkey.h"

#include <cstring>

namespace cowslippin {

namespace {

constexpr char digits[] = "0123456789abcdef";

int
digitValue(char digit)
{
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  return -1;
}

Problem
invalidKey(const std::string& text)
{
  return Problem::invalidField("key", text, "32 lower-case hexadecimal digits");
}

} // namespace

Result<ClaimKey>
ClaimKey::parse(const SubmissionKey& key)
{
  const std::string& text = key.value();
  if (text.size() != 2 * byteCount) {
    return failure(invalidKey(text));
  }
  ClaimKey parsed;
  for (std::size_t i = 0; i < byteCount; ++i) {
    const int high = digitValue(text[2 * i]);
    const int low = digitValue(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return failure(invalidKey(text));
    }
    parsed.m_bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return parsed;
}

SubmissionKey
ClaimKey::toSubmissionKey() const
{
  std::string text;
  text.reserve(2 * byteCount);
  for (const std::uint8_t byte : m_bytes) {
    text += digits[byte / 16];
    text += digits[byte % 16];
  }
  return SubmissionKey(std::move(text));
}

std::size_t
ClaimKey::hash() const
{
  std::size_t value = 0;
  std::memcpy(&value, m_bytes.data(), sizeof value);
  return value;
}

} // namespace cowslippin
