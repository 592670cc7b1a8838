#pragma once

#include <cstdint>

namespace cowslippin::testing {

/// The first of a range of ports that nobody listens at, large enough for a
/// soak of the usual size. They lie below those that the system gives to
/// connections. Throws std::runtime_error if there is none.
std::uint16_t
freePortRange();

} // namespace cowslippin::testing
