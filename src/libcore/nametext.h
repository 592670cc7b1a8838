#pragma once

#include <cstddef>
#include <string_view>

namespace cowslippin {

/// Maximum length, in bytes, of a name that another program gives something.
constexpr std::size_t maxNameBytes = 128;

/// What a problem states as the allowed form of such a name.
constexpr char allowedNameText[] =
  "a text of 1 to 128 bytes in UTF-8 without control characters";

/// Whether the bytes are a name of that form. It may be part of an HTTP header
/// or of a message to another daemon.
bool
isNameText(std::string_view bytes);

} // namespace cowslippin
