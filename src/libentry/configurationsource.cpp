#include "configurationsource.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

ConfigurationSource::ConfigurationSource(Settings settings)
  : m_settings(settings)
{
}

void
ConfigurationSource::setInForce(std::uint64_t version, std::string body)
{
  m_inForce = { version, std::make_shared<const std::string>(std::move(body)) };
}

PeerMessage
ConfigurationSource::answer(const VmId& vm,
                            const PeerConfigRequest& request,
                            TimePoint now)
{
  forgetIdle(now);
  auto receiver = m_receivers.find(vm);
  const bool isKnown = receiver != m_receivers.end();
  if (!m_inForce.body ||
      (!isKnown && m_receivers.size() >= m_settings.maxReceivers))
    return PeerConfigBusy{};
  if (!isKnown || receiver->second.version.number != request.version) {
    receiver =
      m_receivers.insert_or_assign(vm, Receiver{ m_inForce, now }).first;
    logEvent(LogLevel::Info,
             "configuration-sent",
             { { "peer", vm },
               { "version", m_inForce.number },
               { "bytes", m_inForce.body->size() },
               { "peerVersion", request.version },
               { "peerOffset", request.offset } });
  }
  const Version version = receiver->second.version;
  receiver->second.askedAt = now;
  PeerConfigPart part = makePart(version, request);
  if (part.offset + part.bytes.size() == part.size)
    m_receivers.erase(receiver);
  return part;
}

void
ConfigurationSource::peerLost(const VmId& vm)
{
  m_receivers.erase(vm);
}

void
ConfigurationSource::forgetIdle(TimePoint now)
{
  for (auto receiver = m_receivers.begin(); receiver != m_receivers.end();) {
    if (now - receiver->second.askedAt > m_settings.idleLimit)
      receiver = m_receivers.erase(receiver);
    else
      ++receiver;
  }
}

/// The requested part, or the first part of the receiver's version if another
/// version was requested.
PeerConfigPart
ConfigurationSource::makePart(const Version& version,
                              const PeerConfigRequest& request) const
{
  const bool continuesTransfer =
    request.version == version.number && request.offset < version.body->size();
  const std::uint64_t bytes = std::clamp(
    request.maxBytes, m_settings.minPartBytes, m_settings.maxPartBytes);
  PeerConfigPart part;
  part.version = version.number;
  part.size = version.body->size();
  part.offset = continuesTransfer ? request.offset : 0;
  part.bytes = version.body->substr(part.offset, bytes);
  return part;
}

} // namespace cowslippin
