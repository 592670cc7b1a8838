#include "jsonscanner.h"

#include <charconv>

namespace cowslippin {

namespace {

using nlohmann::json;

constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
/// Any number of so many digits fits in 64 bits with its sign.
constexpr std::size_t maxSimpleDigits = 18;

bool
isDigit(char character)
{
  return character >= '0' && character <= '9';
}

/// Whether a character of a string stands for itself and is ASCII.
bool
isPlain(char character)
{
  return character >= ' ' && character <= '~' && character != '"' &&
         character != '\\';
}

bool
isPartOfNumber(char character)
{
  return isDigit(character) || character == '-' || character == '+' ||
         character == '.' || character == 'e' || character == 'E';
}

/// Whether a token is a whole number of at most `maxSimpleDigits` digits.
bool
isSimpleNumber(std::string_view token)
{
  if (token.front() == '-')
    token.remove_prefix(1);
  if (token.empty() || token.size() > maxSimpleDigits ||
      (token.front() == '0' && token.size() > 1))
    return false;
  for (const char character : token) {
    if (!isDigit(character))
      return false;
  }
  return true;
}

template<class Integer>
json
readInteger(std::string_view token)
{
  Integer value = 0;
  std::from_chars(token.data(), token.data() + token.size(), value);
  return value;
}

} // namespace

JsonScanner::JsonScanner(std::string_view text, JsonVisitor& visitor)
  : m_text(text)
  , m_visitor(visitor)
{
}

bool
JsonScanner::scan()
{
  if (m_text.substr(0, byteOrderMark.size()) == byteOrderMark)
    m_at = byteOrderMark.size();
  if (!scanValue())
    return false;
  skipSpace();
  // As for nlohmann's parser, a NUL ends the document.
  return m_at == m_text.size() || isAt('\0');
}

bool
JsonScanner::scanValue()
{
  skipSpace();
  if (m_at == m_text.size())
    return false;
  switch (m_text[m_at]) {
    case '{':
      return scanObject();
    case '[':
      return scanArray();
    case '"':
      return scanString();
    case 't':
      return scanLiteral("true", json(true));
    case 'f':
      return scanLiteral("false", json(false));
    case 'n':
      return scanLiteral("null", json());
    default:
      return scanNumber();
  }
}

bool
JsonScanner::scanObject()
{
  ++m_at;
  m_visitor.beginObject();
  if (!skip('}')) {
    do {
      if (!scanMember())
        return false;
    } while (skip(','));
    if (!skip('}'))
      return false;
  }
  m_visitor.endObject();
  return true;
}

bool
JsonScanner::scanMember()
{
  skipSpace();
  if (!isAt('"') || !readString())
    return false;
  m_visitor.visitName(m_string);
  return skip(':') && scanValue();
}

bool
JsonScanner::scanArray()
{
  ++m_at;
  m_visitor.beginArray();
  if (!skip(']')) {
    do {
      if (!scanValue())
        return false;
    } while (skip(','));
    if (!skip(']'))
      return false;
  }
  m_visitor.endArray();
  return true;
}

bool
JsonScanner::scanString()
{
  if (!readString())
    return false;
  m_visitor.visitText(m_string);
  return true;
}

bool
JsonScanner::scanNumber()
{
  const std::size_t begin = m_at;
  while (m_at < m_text.size() && isPartOfNumber(m_text[m_at]))
    ++m_at;
  const std::string_view token = m_text.substr(begin, m_at - begin);
  if (token.empty())
    return false;
  json value;
  if (!isSimpleNumber(token)) {
    if (!readByLibrary(token, value))
      return false;
  } else if (token.front() == '-') {
    value = readInteger<std::int64_t>(token);
  } else {
    value = readInteger<std::uint64_t>(token);
  }
  m_visitor.visitScalar(value);
  return true;
}

bool
JsonScanner::scanLiteral(std::string_view literal, const json& value)
{
  if (m_text.substr(m_at, literal.size()) != literal)
    return false;
  m_at += literal.size();
  m_visitor.visitScalar(value);
  return true;
}

/// Reads the string that begins here into `m_string`.
bool
JsonScanner::readString()
{
  const std::size_t begin = m_at++;
  while (m_at < m_text.size() && isPlain(m_text[m_at]))
    ++m_at;
  if (isAt('"')) {
    m_string.assign(m_text.substr(begin + 1, m_at - begin - 1));
    ++m_at;
    return true;
  }
  while (m_at < m_text.size() && m_text[m_at] != '"')
    m_at += m_text[m_at] == '\\' ? 2 : 1;
  if (m_at >= m_text.size())
    return false;
  ++m_at;
  json value;
  if (!readByLibrary(m_text.substr(begin, m_at - begin), value))
    return false;
  m_string = std::move(value.get_ref<std::string&>());
  return true;
}

bool
JsonScanner::readByLibrary(std::string_view token, json& value) const
{
  try {
    value = json::parse(token);
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

void
JsonScanner::skipSpace()
{
  while (isAt(' ') || isAt('\n') || isAt('\r') || isAt('\t'))
    ++m_at;
}

/// Skips spaces and this character. False if another one comes next.
bool
JsonScanner::skip(char character)
{
  skipSpace();
  if (!isAt(character))
    return false;
  ++m_at;
  return true;
}

} // namespace cowslippin
