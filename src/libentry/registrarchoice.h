#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cowslippin {

/// Decides which daemon is the registrar of a job: of this daemon and its
/// connected peers, the one with the highest hash of job and daemon. All
/// daemons that are connected to the same peers choose the same one, and the
/// loss of a daemon moves only its own jobs to others. The class does no I/O
/// and reads no clock.
class RegistrarChoice
{
public:
  RegistrarChoice(VmId self, TimePoint now);

  void peerUp(const PeerHello& peer, TimePoint now);
  void peerDown(const VmId& vm, TimePoint now);
  /// The process was paused, and registrations of other daemons may have moved
  /// meanwhile.
  void paused(TimePoint now) { m_startedAt = now; }

  VmId registrarOf(const JobId& job) const;
  /// Whether this daemon is the registrar of a job and has been for so long
  /// that it knows all valid registrations, but for those of the peers that are
  /// `recentlyBack`. If the whole group has just started there are no earlier
  /// ones.
  bool isComplete(const JobId& job,
                  bool haveAllJustStarted,
                  TimePoint now) const;
  /// The peers that were lost and have just connected again.
  std::vector<VmId> recentlyBack(TimePoint now) const;

  bool isConnected(const VmId& vm) const;
  /// Since when the present process of a peer is known; nothing if it isn't
  /// connected.
  std::optional<TimePoint> processKnownSince(const VmId& vm) const;

private:
  struct Peer
  {
    std::uint64_t hash = 0;
    bool isUp = false;
    Incarnation incarnation;
    TimePoint processKnownSince{};
    std::optional<TimePoint> lostAt;
    /// When it was last connected again after a loss.
    std::optional<TimePoint> backAt;
  };

  void forgetLost(TimePoint now);

  const VmId m_self;
  const std::uint64_t m_ownHash;
  /// When this process was started or last paused.
  TimePoint m_startedAt;
  std::map<VmId, Peer> m_peers;
};

} // namespace cowslippin
