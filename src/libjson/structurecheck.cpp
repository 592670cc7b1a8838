#include "structurecheck.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace cowslippin {

namespace {

/// Most documents nest their values no deeper, so that one allocation is
/// enough.
constexpr std::size_t usualDepth = 8;
constexpr const char* tooLong = "too long";
constexpr const char* tooDeep = "nested too deep";
constexpr const char* tooManyValues = "too many values";
constexpr const char* truncated = "truncated";
constexpr const char* trailingBytes = "more than one value";
constexpr const char* unsupportedItem =
  "an item with a tag, an indefinite length or a reserved value";

/// The position of the quotation mark that ends a JSON string whose content
/// starts at `at`, or the end of the text.
std::size_t
endOfString(std::string_view text, std::size_t at)
{
  while (at < text.size() && text[at] != '"')
    at += text[at] == '\\' ? 2 : 1;
  return at;
}

/// Walks over CBOR items one after the other.
class CborWalk
{
public:
  CborWalk(std::string_view bytes, const ParseLimits& limits)
    : m_bytes(bytes)
    , m_limits(limits)
  {
  }

  const char* fault()
  {
    m_openItems.reserve(usualDepth);
    m_openItems.push_back(1);
    while (!m_openItems.empty()) {
      if (m_openItems.back() == 0) {
        m_openItems.pop_back();
        continue;
      }
      --m_openItems.back();
      if (const char* fault = readItem())
        return fault;
    }
    return m_at == m_bytes.size() ? nullptr : trailingBytes;
  }

private:
  enum MajorType : unsigned
  {
    Unsigned = 0,
    Negative = 1,
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
  };

  static constexpr unsigned majorTypeShift = 5;
  static constexpr unsigned argumentMask = 0x1f;
  /// Smaller arguments stand in the first byte itself.
  static constexpr unsigned firstArgumentInBytes = 24;
  static constexpr unsigned lastArgumentInBytes = 27;
  /// The simple values false, true, null, and the three sizes of numbers.
  static constexpr unsigned simpleFalse = 20;
  static constexpr unsigned simpleNull = 22;
  static constexpr unsigned halfFloat = 25;

  const char* readItem()
  {
    if (++m_values > m_limits.maxValues)
      return tooManyValues;
    if (m_at >= m_bytes.size())
      return truncated;
    const auto first = static_cast<unsigned char>(m_bytes[m_at++]);
    const unsigned argument = first & argumentMask;
    const unsigned type = first >> majorTypeShift;
    if (type == Tag || argument > lastArgumentInBytes)
      return unsupportedItem;
    if (type == Simple && !isSupportedSimple(argument))
      return unsupportedItem;
    std::uint64_t value = argument;
    if (argument >= firstArgumentInBytes && !readArgument(argument, value))
      return truncated;
    return readContent(type, value);
  }

  static bool isSupportedSimple(unsigned argument)
  {
    return (argument >= simpleFalse && argument <= simpleNull) ||
           argument >= halfFloat;
  }

  bool readArgument(unsigned argument, std::uint64_t& value)
  {
    const std::size_t size = std::size_t(1)
                             << (argument - firstArgumentInBytes);
    if (m_bytes.size() - m_at < size)
      return false;
    value = 0;
    for (std::size_t i = 0; i < size; ++i)
      value = value << 8 | static_cast<unsigned char>(m_bytes[m_at++]);
    return true;
  }

  const char* readContent(unsigned type, std::uint64_t value)
  {
    if (type == Bytes || type == Text)
      return skip(value);
    if (type == Array)
      return open(value);
    if (type == Map)
      return value > std::numeric_limits<std::uint64_t>::max() / 2
               ? truncated
               : open(2 * value);
    return nullptr;
  }

  const char* skip(std::uint64_t size)
  {
    if (m_bytes.size() - m_at < size)
      return truncated;
    m_at += size;
    return nullptr;
  }

  /// Each item takes a byte at least.
  const char* open(std::uint64_t items)
  {
    if (m_bytes.size() - m_at < items)
      return truncated;
    if (m_openItems.size() > m_limits.maxDepth)
      return tooDeep;
    m_openItems.push_back(items);
    return nullptr;
  }

  std::string_view m_bytes;
  const ParseLimits& m_limits;
  std::size_t m_at = 0;
  std::size_t m_values = 0;
  /// For each open array and map, the number of items that follow; the first
  /// element stands for the document.
  std::vector<std::uint64_t> m_openItems;
};

} // namespace

const char*
jsonStructureFault(std::string_view text, const ParseLimits& limits)
{
  if (text.size() > limits.maxBytes)
    return tooLong;
  std::size_t depth = 0;
  std::size_t values = 1;
  for (std::size_t at = 0; at < text.size(); ++at) {
    switch (text[at]) {
      case '"':
        at = endOfString(text, at + 1);
        break;
      case '[':
      case '{':
        if (++depth > limits.maxDepth)
          return tooDeep;
        ++values;
        break;
      case ']':
      case '}':
        if (depth > 0)
          --depth;
        break;
      case ',':
      case ':':
        ++values;
        break;
      default:
        break;
    }
    if (values > limits.maxValues)
      return tooManyValues;
  }
  return nullptr;
}

const char*
cborStructureFault(std::string_view bytes, const ParseLimits& limits)
{
  if (bytes.size() > limits.maxBytes)
    return tooLong;
  return CborWalk(bytes, limits).fault();
}

} // namespace cowslippin
