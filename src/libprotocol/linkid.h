#pragma once

#include <cstdint>

namespace cowslippin {

/// Numbers a connection, dialled or accepted, for the life of the process. A
/// later connection has a higher number.
using LinkId = std::uint64_t;

/// Why a connection ended.
enum class LinkEnd
{
  /// It failed, or never opened.
  Lost,
  /// The peer said that it is going away.
  GoingAway,
};

} // namespace cowslippin
