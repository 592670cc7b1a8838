#pragma once

#include "libcore/core.h"

#include <variant>

namespace cowslippin {

/// The record is in the stream.
struct Appended
{
  Offset offset = 0;
};

/// The record is not in the stream and never will be by this append.
struct NotAppended
{
  Problem problem;
};

/// The record may be in the stream, or may still get there. Only reading the
/// stream settles it.
struct AppendUnknown
{
  Problem problem;
};

/// How an append ended, as far as its sender can tell.
using AppendResult = std::variant<Appended, NotAppended, AppendUnknown>;

} // namespace cowslippin
