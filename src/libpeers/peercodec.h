#pragma once

#include "peermessage.h"

#include "libcore/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslippin {

/// Maximum size of an encoded message. The largest are jobs of 2,000 tasks,
/// about 20 KB, and parts of a configuration, 32 KB. A message delays the
/// heartbeats queued behind it, so no message may be large.
constexpr std::size_t maxPeerMessageBytes = std::size_t(1) << 20;

/// Encodes a message as CBOR: an array of the message's index in `PeerMessage`
/// and the array of its members in their order.
std::vector<std::uint8_t>
encodePeerMessage(const PeerMessage& message);

/// Decodes a message; the problem describes what is wrong with the bytes.
Result<PeerMessage>
decodePeerMessage(const std::string& bytes);

} // namespace cowslippin
