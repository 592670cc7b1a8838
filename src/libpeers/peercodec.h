#pragma once

#include "peermessage.h"

#include "libcore/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cowslippin {

/// Writes a message as CBOR: an array of its kind and its members in their
/// order.
std::vector<std::uint8_t>
encodePeerMessage(const PeerMessage& message);

/// Reads a message; a problem tells what is wrong with the bytes.
Result<PeerMessage>
decodePeerMessage(const std::string& bytes);

} // namespace cowslippin
