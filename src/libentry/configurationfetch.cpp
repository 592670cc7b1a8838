#include "configurationfetch.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace cowslippin {

ConfigurationFetch::ConfigurationFetch(Settings settings)
  : m_settings(std::move(settings))
  , m_partBytes(m_settings.firstPartBytes)
{
}

void
ConfigurationFetch::versionAdvertised(const VmId& vm,
                                      const ZoneName& zone,
                                      std::uint64_t version)
{
  Peer& peer = m_peers[vm];
  peer.zone = zone;
  if (peer.version == version)
    return;
  peer.version = version;
  findNewest();
}

void
ConfigurationFetch::peerLost(const VmId& vm)
{
  m_peers.erase(vm);
  findNewest();
  if (m_pendingRequest && m_pendingRequest->vm == vm)
    m_pendingRequest.reset();
}

void
ConfigurationFetch::setInForce(std::uint64_t version, bool isFromPlatform)
{
  m_inForce = version;
  if (m_transfer && m_transfer->version <= version)
    m_transfer.reset();
  // If the platform keeps delivering configurations, its head start begins anew
  // for the next one.
  if (isFromPlatform)
    m_behindSince.reset();
}

void
ConfigurationFetch::parseFailed(TimePoint now)
{
  m_nextRequestAt = now + m_settings.parseFailureBackoff;
}

void
ConfigurationFetch::findNewest()
{
  m_newestReported = 0;
  for (const auto& [vm, peer] : m_peers)
    m_newestReported = std::max(m_newestReported, peer.version);
}

std::optional<ConfigurationFetch::Request>
ConfigurationFetch::nextRequest(TimePoint now, bool isArriving)
{
  if (!isDue(now, isArriving) || awaitsAnswer(now))
    return std::nullopt;
  const auto source = chooseSource(now);
  if (!source)
    return std::nullopt;
  Request request;
  request.vm = *source;
  request.message.maxBytes = m_partBytes;
  if (m_transfer) {
    request.message.version = m_transfer->version;
    request.message.offset = m_transfer->body.size();
  }
  if (*source != m_lastSource || !m_transfer)
    logRequest(request, now);
  m_pendingRequest = { *source, now };
  m_lastSource = *source;
  return request;
}

void
ConfigurationFetch::peerBusy(const VmId& vm, TimePoint now)
{
  backOff(vm, now + m_settings.busyBackoff);
  if (m_pendingRequest && m_pendingRequest->vm == vm)
    m_pendingRequest.reset();
}

std::optional<std::string>
ConfigurationFetch::partReceived(const VmId& vm,
                                 const PeerConfigPart& part,
                                 TimePoint now)
{
  answered(vm, now);
  if (!isWellFormed(part) || !append(vm, part)) {
    refusePart(vm, part, now);
    return std::nullopt;
  }
  if (m_transfer->body.size() < m_transfer->size)
    return std::nullopt;
  std::string whole = std::move(m_transfer->body);
  m_transfer.reset();
  return whole;
}

/// Sets the size of the next part by the time that this one took.
void
ConfigurationFetch::answered(const VmId& vm, TimePoint now)
{
  if (!m_pendingRequest || m_pendingRequest->vm != vm)
    return;
  const Duration took = now - m_pendingRequest->at;
  m_pendingRequest.reset();
  if (took < m_settings.shortPartTime)
    m_partBytes = std::min(2 * m_partBytes, m_settings.maxPartBytes);
  else if (took > m_settings.longPartTime)
    m_partBytes = std::max(m_partBytes / 2, m_settings.minPartBytes);
}

/// Returns false if the part doesn't continue the transfer. It may answer a
/// request that was given up, or come from a peer that has other content under
/// the same version.
bool
ConfigurationFetch::append(const VmId& vm, const PeerConfigPart& part)
{
  if (part.version <= m_inForce)
    return false;
  const bool isNew = !m_transfer || part.version > m_transfer->version;
  if (isNew && part.offset == 0)
    m_transfer = Transfer{ part.version, part.size, vm, {} };
  if (!m_transfer || part.version != m_transfer->version)
    return false;
  if (part.size != m_transfer->size) {
    m_transfer.reset();
    return false;
  }
  if (part.offset != m_transfer->body.size())
    return false;
  m_transfer->source = vm;
  m_transfer->body += part.bytes;
  return true;
}

/// Delays the next request to the peer. Without the delay, a peer that sends
/// nothing useful would be asked again in an endless loop, as fast as messages
/// can pass.
void
ConfigurationFetch::refusePart(const VmId& vm,
                               const PeerConfigPart& part,
                               TimePoint now)
{
  backOff(vm, now + m_settings.noAnswerBackoff);
  // The platform may have delivered this version in the meantime.
  if (part.version <= m_inForce)
    return;
  logEvent(LogLevel::Warning,
           "configuration-part-refused",
           { { "peer", vm },
             { "version", part.version },
             { "size", part.size },
             { "offset", part.offset },
             { "bytes", part.bytes.size() } });
}

void
ConfigurationFetch::backOff(const VmId& vm, TimePoint until)
{
  const auto peer = m_peers.find(vm);
  if (peer != m_peers.end())
    peer->second.nextRequestAt = until;
}

/// Whether a newer version is known and the platform has had its head start.
bool
ConfigurationFetch::isDue(TimePoint now, bool isArriving)
{
  if (newestVersion() == m_inForce) {
    m_behindSince.reset();
    m_transfer.reset();
    m_pendingRequest.reset();
    return false;
  }
  if (!m_behindSince)
    m_behindSince = now;
  Duration wait =
    m_inForce == 0 ? m_settings.initialPlatformWait : m_settings.platformWait;
  if (isArriving)
    wait = m_settings.arrivalTimeout;
  return now - *m_behindSince >= wait && now >= m_nextRequestAt;
}

bool
ConfigurationFetch::awaitsAnswer(TimePoint now)
{
  if (!m_pendingRequest)
    return false;
  if (now - m_pendingRequest->at < m_settings.partTimeout)
    return true;
  logEvent(LogLevel::Warning,
           "configuration-unanswered",
           { { "peer", m_pendingRequest->vm },
             { "waitedMs", toMilliseconds(now - m_pendingRequest->at) } });
  backOff(m_pendingRequest->vm, now + m_settings.noAnswerBackoff);
  m_partBytes = m_settings.minPartBytes;
  m_pendingRequest.reset();
  return false;
}

/// The peer that can continue the transfer or, if there is none, one with a
/// newer version than the one in force.
std::optional<VmId>
ConfigurationFetch::chooseSource(TimePoint now)
{
  if (m_transfer) {
    if (auto source = bestSource(now, false))
      return source;
  }
  auto source = bestSource(now, true);
  if (source)
    m_transfer.reset();
  return source;
}

/// Ranks the peers that can be asked: the one that sent the last part, then the
/// newest version, then the own zone, then a hash that differs from daemon to
/// daemon and so spreads the requests.
std::optional<VmId>
ConfigurationFetch::bestSource(TimePoint now, bool mayRestart) const
{
  using Rank = std::tuple<bool, std::uint64_t, bool, std::size_t>;
  std::optional<std::pair<Rank, VmId>> best;
  for (const auto& [vm, peer] : m_peers) {
    const bool isSource = m_transfer && vm == m_transfer->source;
    const bool continuesTransfer =
      isSource || (m_transfer && peer.version == m_transfer->version);
    if (now < peer.nextRequestAt || peer.version <= m_inForce ||
        (!mayRestart && !continuesTransfer))
      continue;
    const std::size_t hash =
      std::hash<std::string>()(m_settings.self.value() + '|' + vm.value());
    const Rank rank{
      isSource, peer.version, peer.zone == m_settings.zone, hash
    };
    if (!best || rank > best->first)
      best = { rank, vm };
  }
  if (!best)
    return std::nullopt;
  return best->second;
}

bool
ConfigurationFetch::isWellFormed(const PeerConfigPart& part) const
{
  return !part.bytes.empty() && part.size <= m_settings.maxBytes &&
         part.offset <= part.size &&
         part.bytes.size() <= part.size - part.offset;
}

void
ConfigurationFetch::logRequest(const Request& request, TimePoint now) const
{
  logEvent(LogLevel::Info,
           "configuration-asked",
           { { "peer", request.vm },
             { "newest", newestVersion() },
             { "inForce", m_inForce },
             { "version", request.message.version },
             { "offset", request.message.offset },
             { "behindMs", toMilliseconds(now - *m_behindSince) } });
}

} // namespace cowslippin
