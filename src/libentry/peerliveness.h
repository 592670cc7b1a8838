#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cowslippin {

/// Tracks when each peer was last known to be alive. It does no I/O and reads
/// no clock.
///
/// The time at which a message is read isn't enough: the message may have
/// waited in a socket, on a slow link or behind a busy process. So a heartbeat
/// carries the time at which it was sent, the receiver sends that time back,
/// and the sender compares it with its own clock.
///
/// An acknowledgement also covers the callers of the daemon that sends it: if
/// one disconnected before the heartbeat was sent, the daemon knows it.
/// Therefore a daemon acknowledges a heartbeat only after a whole round of its
/// event loop, from one tick to the next, in which everything that had arrived
/// is read. The same holds for a daemon's own callers.
class PeerLiveness
{
public:
  /// A time of the sender's steady clock, which has no meaning on other
  /// machines.
  using SentAt = std::int64_t;

  explicit PeerLiveness(TimePoint now)
    : m_tickAt(now)
    , m_previousTickAt(now)
  {
  }

  static SentAt toSentAt(TimePoint now)
  {
    return now.time_since_epoch().count();
  }

  /// A heartbeat of a peer was read.
  void heartbeatReceived(const VmId& vm, SentAt sentAt, TimePoint now);
  /// The acknowledgement to attach to a message that is sent to the peer
  /// anyway.
  PeerHeartbeatAck acknowledgement(const VmId& vm) const;
  /// Returns the acknowledgement to send to the peer in a message of its own,
  /// and marks it as sent. Returns nothing if there is nothing new to
  /// acknowledge, or if one was sent shortly before.
  std::optional<PeerHeartbeatAck> takeDueAcknowledgement(const VmId& vm,
                                                         TimePoint now);
  /// How long ago the newest heartbeat in the acknowledgement was read; zero if
  /// there is none.
  Duration acknowledgementAge(const VmId& vm, TimePoint now) const;
  /// The earliest time, by this daemon's clock, at which a message with the
  /// given acknowledgement was sent. Returns nothing if that can't be
  /// determined.
  static std::optional<TimePoint> sentAfter(const PeerHeartbeatAck& ack,
                                            Duration ackAge,
                                            TimePoint now);

  /// Whether to send the peer a heartbeat out of turn, to have it acknowledged.
  /// Returns false for some time after it returned true.
  bool takeOutOfTurnRequest(const VmId& vm, TimePoint now);

  /// A peer has acknowledged a heartbeat of this daemon.
  void acknowledged(const VmId& vm, const PeerHeartbeatAck& ack, TimePoint now);
  /// The connection to a peer was lost. Heartbeats that it read over that
  /// connection no longer count.
  void peerLost(const VmId& vm);

  /// To be called about every 20 ms, after everything that had arrived before
  /// is read.
  void tick(TimePoint now);

  /// When the peer was last known to be alive and to know which of its callers
  /// were gone. The clock's epoch if it never acknowledged a heartbeat.
  TimePoint lastContact(const VmId& vm) const;
  /// The time at which the newest heartbeat that the peer has read was sent.
  TimePoint advertisedUntil(const VmId& vm) const;
  /// The same as `lastContact` for this daemon and its own callers.
  TimePoint ownCallersKnownUntil() const { return m_previousTickAt; }

private:
  struct Peer
  {
    /// When heartbeats were sent, by the peer's clock: the newest one, the
    /// newest one at the tick with the number `tick`, and the newest one at the
    /// tick before that.
    SentAt newest = 0;
    TimePoint newestAt{};
    SentAt newestAtTick = 0;
    SentAt newestAtPreviousTick = 0;
    std::uint64_t tick = 0;
    SentAt acknowledged = 0;
    TimePoint acknowledgedAt{};
    TimePoint outOfTurnAt{};
    TimePoint contact{};
    TimePoint advertisedUntil{};
  };

  SentAt settled(const Peer& peer) const;
  void advanceToLastTick(Peer& peer) const;

  std::map<VmId, Peer> m_peers;
  /// The number of ticks so far. The peers are brought up to date when they are
  /// used, so that a tick takes the same time in a group of any size.
  std::uint64_t m_tickCount = 0;
  TimePoint m_tickAt;
  TimePoint m_previousTickAt;
};

} // namespace cowslippin
