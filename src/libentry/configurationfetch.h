#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cowslippin {

/// Fetches a newer configuration from peers if the platform doesn't deliver it
/// in time.
///
/// This happens when all peers have a configuration that this daemon lacks, on
/// a slow or busy link. The daemon asks one peer at a time for one part at a
/// time. So the link carries one part at once however many peers could send,
/// and heartbeats pass between two parts. An earlier design, in which every
/// peer that was ahead sent the whole configuration, kept the daemon behind: 40
/// copies of 0.9 MB filled its link of 25 Mbit/s for as long as it was behind.
/// Received parts are kept when a peer is lost or doesn't answer, and another
/// peer with the same version continues from there.
class ConfigurationFetch
{
public:
  struct Settings
  {
    VmId self;
    /// Peers of this zone are asked first, because traffic between zones costs
    /// more.
    ZoneName zone;
    /// How long to wait for the platform to deliver a known newer version: 41
    /// daemons that read 0.8 MB at once had it after 0.35 to 1.45 s.
    Duration platformWait = std::chrono::milliseconds(400);
    /// The same wait while no configuration is in force and so no caller is
    /// served. A response of the platform takes 4 ms, and up to 60 times as
    /// long when it is slow.
    Duration initialPlatformWait = std::chrono::milliseconds(100);
    /// The same wait while a response of the platform is being received. A
    /// configuration has to be in force 2 s after the platform has acknowledged
    /// it.
    Duration arrivalTimeout = std::chrono::milliseconds(1000);
    /// Timeout for one part. It is longer than the silence limit, so that the
    /// loss of a peer is detected as such.
    Duration partTimeout = std::chrono::milliseconds(550);
    /// How long a peer isn't asked again after it gave no answer or a useless
    /// one.
    Duration noAnswerBackoff = std::chrono::milliseconds(1000);
    /// How long a peer isn't asked again when it is busy serving others: the
    /// time of a few parts.
    Duration busyBackoff = std::chrono::milliseconds(100);
    /// How long no peer is asked after a configuration that could not be
    /// parsed.
    Duration parseFailureBackoff = std::chrono::seconds(5);
    /// The size of a part is chosen so that it passes in some tens of
    /// milliseconds on any link. Heartbeats wait behind it, and three of them
    /// must come within the silence limit of 450 ms between daemons.
    std::uint64_t firstPartBytes = std::uint64_t(8) << 10;
    std::uint64_t minPartBytes = std::uint64_t(2) << 10;
    std::uint64_t maxPartBytes = std::uint64_t(64) << 10;
    /// A part that took less than `shortPartTime` is followed by one twice as
    /// long; one that took more than `longPartTime`, by one half as long.
    Duration shortPartTime = std::chrono::milliseconds(30);
    Duration longPartTime = std::chrono::milliseconds(90);
    /// An upper bound above the platform's limit for a configuration.
    std::uint64_t maxBytes = std::uint64_t(64) << 20;
  };

  struct Request
  {
    VmId vm;
    PeerConfigRequest message;
  };

  explicit ConfigurationFetch(Settings settings);

  /// A peer advertises the version that is in force there.
  void versionAdvertised(const VmId& vm,
                         const ZoneName& zone,
                         std::uint64_t version);
  /// A peer can no longer be reached.
  void peerLost(const VmId& vm);
  /// A version has come into force on this daemon.
  void setInForce(std::uint64_t version, bool isFromPlatform);
  /// A configuration that peers sent could not be parsed.
  void parseFailed(TimePoint now);

  /// The highest version that is in force here or advertised by a peer.
  std::uint64_t newestVersion() const
  {
    return std::max(m_inForce, m_newestReported);
  }

  /// Returns the next request to send, if any. `isArriving` tells whether a
  /// response of the platform is being received.
  std::optional<Request> nextRequest(TimePoint now, bool isArriving);

  /// A peer is busy serving others.
  void peerBusy(const VmId& vm, TimePoint now);
  /// A part was received. Returns the whole configuration if it was the last
  /// part.
  std::optional<std::string> partReceived(const VmId& vm,
                                          const PeerConfigPart& part,
                                          TimePoint now);

private:
  struct Peer
  {
    ZoneName zone;
    std::uint64_t version = 0;
    TimePoint nextRequestAt{};
  };
  /// The parts received so far.
  struct Transfer
  {
    std::uint64_t version = 0;
    std::uint64_t size = 0;
    VmId source;
    std::string body;
  };
  struct PendingRequest
  {
    VmId vm;
    TimePoint at{};
  };

  bool isDue(TimePoint now, bool isArriving);
  bool awaitsAnswer(TimePoint now);
  void findNewest();
  void answered(const VmId& vm, TimePoint now);
  bool append(const VmId& vm, const PeerConfigPart& part);
  void refusePart(const VmId& vm, const PeerConfigPart& part, TimePoint now);
  void backOff(const VmId& vm, TimePoint until);
  std::optional<VmId> chooseSource(TimePoint now);
  std::optional<VmId> bestSource(TimePoint now, bool mayRestart) const;
  bool isWellFormed(const PeerConfigPart& part) const;
  void logRequest(const Request& request, TimePoint now) const;

  const Settings m_settings;
  std::map<VmId, Peer> m_peers;
  std::uint64_t m_inForce = 0;
  /// The highest version that a reachable peer has advertised.
  std::uint64_t m_newestReported = 0;
  /// When this daemon learned of a version newer than the one in force; unset
  /// while there is none.
  std::optional<TimePoint> m_behindSince;
  TimePoint m_nextRequestAt{};
  std::optional<Transfer> m_transfer;
  std::optional<PendingRequest> m_pendingRequest;
  std::uint64_t m_partBytes;
  VmId m_lastSource;
};

} // namespace cowslippin
