#pragma once

#include "peermessage.h"

#include "libcore/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cowslippin {

/// Encodes a message as CBOR: an array of the message's index in `PeerMessage`
/// and the array of its members in their order.
std::vector<std::uint8_t>
encodePeerMessage(const PeerMessage& message);

/// Decodes a message; the problem describes what is wrong with the bytes.
Result<PeerMessage>
decodePeerMessage(const std::string& bytes);

} // namespace cowslippin
