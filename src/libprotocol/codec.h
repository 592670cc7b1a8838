#pragma once

#include "message.h"

#include "libcore/result.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cowslippin {

/// The version that every Hello carries. Daemons of different versions refuse
/// each other's Hello.
constexpr std::uint64_t protocolVersion = 1;

/// The longest identifier that is accepted in a message, in bytes.
constexpr std::size_t maxIdentifierBytes = 1024;

/// Encodes a message as a CBOR map.
std::vector<std::uint8_t>
encode(const Message& message);

/// Reads one whole message. Bytes that are not exactly one message are a
/// problem that names the member at fault, never an exception. Members that
/// this version doesn't know are ignored.
Result<Message>
decode(const std::uint8_t* data, std::size_t size);

} // namespace cowslippin
