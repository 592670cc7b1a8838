#include "message.h"

namespace cowslippin {

std::optional<Offset>
configOffsetOf(const Message& message)
{
  if (const auto* hello = std::get_if<Hello>(&message))
    return hello->configOffset();
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
    return heartbeat->configOffset();
  if (const auto* reply = std::get_if<HeartbeatReply>(&message))
    return reply->configOffset();
  return std::nullopt;
}

} // namespace cowslippin
