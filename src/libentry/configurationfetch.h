#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cowslippin {

/// Gets a newer configuration from other daemons where the platform doesn't
/// bring it in time.
///
/// It answers the moment in which all others have a configuration that this
/// daemon lacks, on a link that is slow or busy. Who lacks it asks, one daemon
/// at a time and for one part at a time, so that the link carries one part for
/// it however many could send, and heartbeats pass between two parts. When
/// everyone who was ahead sent the whole, 40 copies of 0.9 MB filled a link of
/// 25 Mbit/s for as long as the daemon stayed behind, and it stayed behind for
/// that reason. What has come is kept when a daemon is lost or gives no answer:
/// another one with the same version goes on from there.
class ConfigurationFetch
{
public:
  struct Settings
  {
    VmId self;
    /// Daemons of this zone are asked first: bytes between zones cost more.
    ZoneName zone;
    /// How long the platform has for bringing it: 41 daemons that read 0.8 MB
    /// at once have had it after 0.35 to 1.45 s.
    Duration headStart = std::chrono::milliseconds(400);
    /// The same where there is none yet, so that no caller is served: an answer
    /// of the platform takes 4 ms, and up to 60 times as long when it is slow.
    Duration startHeadStart = std::chrono::milliseconds(100);
    /// The same while its answer is on its way. A configuration has to be in
    /// force 2 s after the platform has acknowledged it.
    Duration arrivalTime = std::chrono::milliseconds(1000);
    /// How long a daemon may take for a part: longer than the silence limit, so
    /// that one that is lost is noticed as such.
    Duration answerTime = std::chrono::milliseconds(550);
    /// Until a daemon is asked again that gave no answer, or one of no use.
    Duration silentPause = std::chrono::milliseconds(1000);
    /// Until one is asked again that serves others: a few parts' time.
    Duration busyPause = std::chrono::milliseconds(100);
    /// After one that could not be read.
    Duration refusedPause = std::chrono::seconds(5);
    /// A part is as long as passes in some tens of milliseconds, whatever the
    /// link: heartbeats wait behind it, and three of them must come within the
    /// silence limit of 450 ms between daemons.
    std::uint64_t firstPartBytes = std::uint64_t(8) << 10;
    std::uint64_t minPartBytes = std::uint64_t(2) << 10;
    std::uint64_t maxPartBytes = std::uint64_t(64) << 10;
    /// A part that came sooner is followed by one twice as long, one that came
    /// later by one half as long.
    Duration shortPartTime = std::chrono::milliseconds(30);
    Duration longPartTime = std::chrono::milliseconds(90);
    /// More than the platform lets a configuration have.
    std::uint64_t maxBytes = std::uint64_t(64) << 20;
  };

  struct Request
  {
    VmId vm;
    PeerConfigRequest message;
  };

  explicit ConfigurationFetch(Settings settings);

  /// A daemon has told which version is in force there.
  void told(const VmId& vm, const ZoneName& zone, std::uint64_t version);
  /// A daemon can't be reached any more.
  void lost(const VmId& vm);
  /// A version is in force here now.
  void setInForce(std::uint64_t version, bool isFromPlatform);
  /// What a daemon sent could not be read.
  void refused(TimePoint now);

  /// The highest version that was told of.
  std::uint64_t newest() const { return std::max(m_inForce, m_newestTold); }

  /// Whom to ask now for what, if anybody. `isArriving`: the platform's answer
  /// is on its way.
  std::optional<Request> next(TimePoint now, bool isArriving);

  /// A daemon has no time for it now.
  void busy(const VmId& vm, TimePoint now);
  /// A part has come; the whole configuration if it was the last one.
  std::optional<std::string> received(const VmId& vm,
                                      const PeerConfigPart& part,
                                      TimePoint now);

private:
  struct Peer
  {
    ZoneName zone;
    std::uint64_t version = 0;
    TimePoint notBefore{};
  };
  /// What has come so far.
  struct Transfer
  {
    std::uint64_t version = 0;
    std::uint64_t size = 0;
    VmId source;
    std::string body;
  };
  struct Asked
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
  void setAside(const VmId& vm, TimePoint until);
  std::optional<VmId> chooseSource(TimePoint now);
  std::optional<VmId> bestSource(TimePoint now, bool mayRestart) const;
  bool isSound(const PeerConfigPart& part) const;
  void logAsked(const Request& request, TimePoint now) const;

  const Settings m_settings;
  std::map<VmId, Peer> m_peers;
  std::uint64_t m_inForce = 0;
  /// By a daemon that can be reached.
  std::uint64_t m_newestTold = 0;
  /// Since when a newer version than that in force is known.
  std::optional<TimePoint> m_behindSince;
  TimePoint m_notBefore{};
  std::optional<Transfer> m_transfer;
  std::optional<Asked> m_asked;
  std::uint64_t m_partBytes;
  VmId m_lastAsked;
};

} // namespace cowslippin
