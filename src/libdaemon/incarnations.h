#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// A new incarnation of the daemon on `vm`: its VM id and 64 random bits. No
/// two processes get the same one.
Incarnation
makeIncarnation(const VmId& vm);

/// The VM whose daemon runs, or ran, as `incarnation`. Empty if the text was
/// not made by `makeIncarnation`.
VmId
vmOf(const Incarnation& incarnation);

/// 128 random bits as 32 hexadecimal digits.
std::string
randomHex128();

} // namespace cowslippin
