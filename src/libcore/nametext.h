#pragma once

#include <cstddef>
#include <string_view>

namespace cowslippin {

/// Maximum length, in bytes, of a name that another program gives something.
/// Readers of such names and the messages between daemons share it.
constexpr std::size_t maxNameBytes = 1024;

/// What a problem states as the allowed form of such a name.
constexpr char allowedNameText[] =
  "a text of 1 to 1024 bytes in UTF-8 without control characters";

/// Whether the bytes are a name of that form. It may be part of an HTTP header
/// or of a message to another daemon.
bool
isNameText(std::string_view bytes);

/// What a problem states as the allowed form of a text that is only compared
/// with others, so that it may have any length.
constexpr char allowedPlainText[] =
  "a text of at least 1 byte in UTF-8 without control characters";

/// Whether the bytes are a text of that form.
bool
isPlainText(std::string_view bytes);

} // namespace cowslippin
