#include "nametext.h"

#include "displaytext.h"

#include <algorithm>

namespace cowslippin {

namespace {

bool
isControlCharacter(char byte)
{
  constexpr unsigned char firstPrintable = 0x20;
  constexpr unsigned char deleteCharacter = 0x7f;
  const auto value = static_cast<unsigned char>(byte);
  return value < firstPrintable || value == deleteCharacter;
}

} // namespace

bool
isPlainText(std::string_view bytes)
{
  return !bytes.empty() && isUtf8(bytes) &&
         std::none_of(bytes.begin(), bytes.end(), isControlCharacter);
}

bool
isNameText(std::string_view bytes)
{
  return bytes.size() <= maxNameBytes && isPlainText(bytes);
}

} // namespace cowslippin
