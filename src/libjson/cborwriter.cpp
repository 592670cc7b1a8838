#include "cborwriter.h"

#include "jsontext.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

constexpr unsigned unsignedType = 0;
constexpr unsigned negativeType = 1;
constexpr unsigned bytesType = 2;
constexpr unsigned textType = 3;
constexpr unsigned arrayType = 4;
constexpr unsigned majorTypeShift = 5;
constexpr std::uint8_t falseItem = 0xf4;
constexpr std::uint8_t trueItem = 0xf5;
constexpr std::uint8_t nullItem = 0xf6;
/// Smaller arguments stand in the first byte itself; of larger ones that byte
/// gives the size.
constexpr unsigned firstArgumentInBytes = 24;
/// Most messages are shorter, so that one allocation is enough.
constexpr std::size_t usualBytes = 256;

} // namespace

void
CborWriter::list(std::size_t size)
{
  head(arrayType, size);
}

void
CborWriter::text(std::string_view value)
{
  content(textType, value);
}

void
CborWriter::binary(std::string_view value)
{
  content(bytesType, value);
}

void
CborWriter::flag(bool value)
{
  m_bytes.push_back(value ? trueItem : falseItem);
}

void
CborWriter::number(double value)
{
  const auto bytes = writeCbor(value);
  m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.end());
}

void
CborWriter::null()
{
  m_bytes.push_back(nullItem);
}

std::vector<std::uint8_t>
CborWriter::takeBytes()
{
  return std::exchange(m_bytes, {});
}

void
CborWriter::head(unsigned type, std::uint64_t argument)
{
  if (m_bytes.empty())
    m_bytes.reserve(usualBytes);
  const auto first = static_cast<std::uint8_t>(type << majorTypeShift);
  if (argument < firstArgumentInBytes) {
    m_bytes.push_back(static_cast<std::uint8_t>(first | argument));
    return;
  }
  unsigned sizeExponent = 0;
  while (sizeExponent < 3 && argument >> (8U << sizeExponent) != 0)
    ++sizeExponent;
  m_bytes.push_back(
    static_cast<std::uint8_t>(first | (firstArgumentInBytes + sizeExponent)));
  bigEndian(argument, std::size_t(1) << sizeExponent);
}

void
CborWriter::bigEndian(std::uint64_t value, std::size_t size)
{
  for (std::size_t i = size; i > 0; --i)
    m_bytes.push_back(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
}

void
CborWriter::signedInteger(std::int64_t value)
{
  // A negative number is written as -1 minus its value.
  if (value < 0)
    head(negativeType, ~static_cast<std::uint64_t>(value));
  else
    head(unsignedType, static_cast<std::uint64_t>(value));
}

void
CborWriter::unsignedInteger(std::uint64_t value)
{
  head(unsignedType, value);
}

void
CborWriter::content(unsigned type, std::string_view value)
{
  head(type, value.size());
  m_bytes.insert(m_bytes.end(), value.begin(), value.end());
}

} // namespace cowslippin
