#include "displaytext.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr std::string_view ellipsis = "...";
/// U+FFFD, the replacement character.
constexpr std::string_view replacement = "\xef\xbf\xbd";

/// The bytes that a character with this first byte has, and the range of its
/// second byte, which excludes surrogates and encodings that are too long.
struct CharacterForm
{
  std::size_t length;
  unsigned char secondLeast;
  unsigned char secondMost;
};

CharacterForm
formOf(unsigned char first)
{
  if (first < 0x80)
    return { 1, 0, 0 };
  if (first >= 0xc2 && first <= 0xdf)
    return { 2, 0x80, 0xbf };
  if (first == 0xe0)
    return { 3, 0xa0, 0xbf };
  if (first == 0xed)
    return { 3, 0x80, 0x9f };
  if (first >= 0xe1 && first <= 0xef)
    return { 3, 0x80, 0xbf };
  if (first == 0xf0)
    return { 4, 0x90, 0xbf };
  if (first >= 0xf1 && first <= 0xf3)
    return { 4, 0x80, 0xbf };
  if (first == 0xf4)
    return { 4, 0x80, 0x8f };
  return { 0, 0, 0 };
}

bool
isContinuation(unsigned char byte)
{
  return byte >= 0x80 && byte <= 0xbf;
}

/// The length of the character at the start of the bytes, which must not be
/// empty; 0 if there is no whole character.
std::size_t
characterLength(std::string_view bytes)
{
  const auto at = [&](std::size_t i) {
    return static_cast<unsigned char>(bytes[i]);
  };
  const CharacterForm form = formOf(at(0));
  if (form.length > bytes.size())
    return 0;
  if (form.length > 1 && (at(1) < form.secondLeast || at(1) > form.secondMost))
    return 0;
  for (std::size_t i = 2; i < form.length; ++i) {
    if (!isContinuation(at(i)))
      return 0;
  }
  return form.length;
}

} // namespace

bool
isUtf8(std::string_view bytes)
{
  while (!bytes.empty()) {
    const std::size_t length = characterLength(bytes);
    if (length == 0)
      return false;
    bytes.remove_prefix(length);
  }
  return true;
}

std::string
displayText(std::string_view bytes, std::size_t maxBytes)
{
  std::string text;
  std::size_t lengthBeforeEllipsis = 0;
  for (std::string_view rest = bytes; !rest.empty();) {
    const std::size_t length = characterLength(rest);
    const std::string_view shown =
      length == 0 ? replacement : rest.substr(0, length);
    if (text.size() + shown.size() > maxBytes) {
      text.resize(lengthBeforeEllipsis);
      text += ellipsis;
      return text;
    }
    text += shown;
    if (text.size() + ellipsis.size() <= maxBytes)
      lengthBeforeEllipsis = text.size();
    rest.remove_prefix(std::max<std::size_t>(length, 1));
  }
  return text;
}

std::string
boundedText(std::string text, std::size_t maxBytes)
{
  return text.size() <= maxBytes && isUtf8(text) ? std::move(text)
                                                 : displayText(text, maxBytes);
}

} // namespace cowslippin
