#include "cborreader.h"

#include "structurecheck.h"

#include "libcore/displaytext.h"

#include <cstring>
#include <limits>

namespace cowslippin {

namespace {

using nlohmann::json;

enum MajorType : unsigned
{
  Unsigned = 0,
  Negative = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Simple = 7,
};

constexpr unsigned majorTypeShift = 5;
constexpr unsigned infoMask = 0x1f;
/// Smaller arguments stand in the first byte itself.
constexpr unsigned firstArgumentInBytes = 24;
constexpr unsigned simpleFalse = 20;
constexpr unsigned simpleTrue = 21;
constexpr unsigned simpleNull = 22;
constexpr unsigned doubleFloat = 27;
/// Messages nest their lists no deeper, so that one allocation is enough.
constexpr std::size_t usualDepth = 8;

} // namespace

CborReader::CborReader(std::string_view bytes)
  : m_bytes(bytes)
{
  m_lists.reserve(usualDepth);
}

Result<CborReader>
CborReader::open(std::string_view bytes,
                 const char* field,
                 const ParseLimits& limits)
{
  if (auto problem = cborProblem(bytes, field, limits))
    return failure(std::move(*problem));
  return CborReader(bytes);
}

std::size_t
CborReader::beginList(std::size_t maxSize)
{
  takeElement();
  const Head head = headAt(m_at);
  if (head.type != Array || head.argument > maxSize)
    listFrom(valueAt(m_at), maxSize);
  m_lists.push_back({ m_at, head.argument, 0 });
  m_at = head.contentAt;
  return m_lists.back().size;
}

void
CborReader::beginMembers()
{
  takeElement();
  const Head head = headAt(m_at);
  if (head.type != Array)
    elementOf(valueAt(m_at), 0);
  m_lists.push_back({ m_at, head.argument, 0 });
  m_at = head.contentAt;
}

void
CborReader::end()
{
  const List& list = m_lists.back();
  for (std::size_t i = list.read; i < list.size; ++i)
    m_at = endOf(m_at);
  m_lists.pop_back();
}

bool
CborReader::skipNull()
{
  takeElement();
  const Head head = headAt(m_at);
  if (head.type != Simple || head.info != simpleNull) {
    if (!m_lists.empty())
      --m_lists.back().read;
    return false;
  }
  m_at = head.contentAt;
  return true;
}

std::string
CborReader::text(std::size_t maxBytes)
{
  takeElement();
  const Head head = headAt(m_at);
  if (head.type != Text)
    return textFrom(valueAt(m_at), maxBytes);
  const std::string_view content =
    m_bytes.substr(head.contentAt, head.argument);
  if (content.size() > maxBytes || !isUtf8(content))
    return textFrom(valueAt(m_at), maxBytes);
  m_at = head.contentAt + head.argument;
  return std::string(content);
}

std::string
CborReader::binary()
{
  takeElement();
  const Head head = headAt(m_at);
  if (head.type != Bytes)
    throw InvalidJsonValue(valueAt(m_at), "a byte string");
  m_at = head.contentAt + head.argument;
  return std::string(m_bytes.substr(head.contentAt, head.argument));
}

bool
CborReader::flag()
{
  return flagFrom(scalar());
}

double
CborReader::number(double least, double most)
{
  return numberFrom(scalar(), least, most);
}

void
CborReader::skip()
{
  takeElement();
  m_at = endOf(m_at);
}

/// Reads the first bytes of the item at a position. `open` has checked that the
/// item is whole.
CborReader::Head
CborReader::headAt(std::size_t at) const
{
  const auto first = static_cast<unsigned char>(m_bytes[at++]);
  Head head;
  head.type = first >> majorTypeShift;
  head.info = first & infoMask;
  head.argument = head.info;
  if (head.info >= firstArgumentInBytes) {
    const std::size_t size = std::size_t(1)
                             << (head.info - firstArgumentInBytes);
    head.argument = 0;
    for (std::size_t i = 0; i < size; ++i)
      head.argument =
        head.argument << 8 | static_cast<unsigned char>(m_bytes[at++]);
  }
  head.contentAt = at;
  return head;
}

/// The position after the item at a position. Takes no memory that grows with
/// the item and doesn't call itself.
std::size_t
CborReader::endOf(std::size_t at) const
{
  for (std::uint64_t items = 1; items > 0; --items) {
    const Head head = headAt(at);
    at = head.contentAt;
    if (head.type == Bytes || head.type == Text)
      at += head.argument;
    else if (head.type == Array)
      items += head.argument;
    else if (head.type == Map)
      items += 2 * head.argument;
  }
  return at;
}

json
CborReader::valueAt(std::size_t at) const
{
  return json::from_cbor(m_bytes.substr(at, endOf(at) - at), true, false);
}

/// Counts the next value as read. Throws InvalidJsonValue at the end of a list.
void
CborReader::takeElement()
{
  if (m_lists.empty())
    return;
  List& list = m_lists.back();
  if (list.read == list.size)
    elementOf(valueAt(list.start), list.read);
  ++list.read;
}

/// Reads a value that isn't a list or a string without parsing it; another one
/// is returned as a tree, for a problem to show.
json
CborReader::scalar()
{
  takeElement();
  const std::size_t at = m_at;
  const Head head = headAt(at);
  m_at = head.contentAt;
  if (head.type == Unsigned)
    return head.argument;
  // The value is -1 minus the argument.
  if (head.type == Negative)
    return static_cast<std::int64_t>(~head.argument);
  if (head.type == Simple && head.info == simpleFalse)
    return false;
  if (head.type == Simple && head.info == simpleTrue)
    return true;
  if (head.type == Simple && head.info == doubleFloat) {
    double value = 0;
    std::memcpy(&value, &head.argument, sizeof value);
    return value;
  }
  return valueAt(at);
}

} // namespace cowslippin
