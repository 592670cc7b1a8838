#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cowslippin {

/// When each other daemon was last surely alive. It does no input or output and
/// reads no clock.
///
/// When a message is read says little: it may have waited in a socket, on a
/// slow link or behind a busy process. So heartbeats carry the time at which
/// they were sent, the receiver sends it back, and the sender counts from there
/// on its own clock.
///
/// A daemon acknowledges for its callers as well: those that had gone before
/// the heartbeat was sent are known to be gone. Therefore it waits for a whole
/// round of its event loop, from one tick to the next, in which all that had
/// arrived is read. The same goes for a daemon's own callers.
class PeerContact
{
public:
  /// By the sender's steady clock; means nothing to others.
  using SentAt = std::int64_t;

  explicit PeerContact(TimePoint now)
    : m_tickAt(now)
    , m_previousTickAt(now)
  {
  }

  static SentAt stamp(TimePoint now) { return now.time_since_epoch().count(); }

  /// A heartbeat of another daemon was read.
  void beatReceived(const VmId& vm, SentAt sentAt, TimePoint now);
  /// What to acknowledge to it with a message that is sent anyway.
  PeerBeatAck acknowledgement(const VmId& vm) const;
  /// The same if it has not been acknowledged yet, nor another one shortly
  /// before; it is from then on.
  std::optional<PeerBeatAck> takeDue(const VmId& vm, TimePoint now);
  /// How long ago the newest heartbeat in it was read; zero if there is none.
  Duration acknowledgementAge(const VmId& vm, TimePoint now) const;
  /// When a message with an acknowledgement was sent at the earliest, by this
  /// daemon's clock, if that can be told.
  static std::optional<TimePoint> sentAfter(const PeerBeatAck& ack,
                                            Duration ackAge,
                                            TimePoint now);

  /// Whether it is to be sent a heartbeat out of turn, so that it acknowledges
  /// it; false shortly after it was true.
  bool takeAsking(const VmId& vm, TimePoint now);

  /// Another daemon has acknowledged a heartbeat of this one.
  void acknowledged(const VmId& vm, const PeerBeatAck& ack, TimePoint now);
  /// The connection to it was lost. What was told over it no longer counts.
  void lost(const VmId& vm);

  /// Every 20 ms or so, when all that was there before has been read.
  void tick(TimePoint now);

  /// Long ago if it never acknowledged anything.
  TimePoint lastContact(const VmId& vm) const;
  /// Until when it has been told of this daemon: when the newest heartbeat that
  /// it has read was sent.
  TimePoint toldUntil(const VmId& vm) const;
  /// The same of this daemon and its own callers.
  TimePoint ownContact() const { return m_previousTickAt; }

private:
  struct Peer
  {
    /// Of the newest heartbeat, and of the newest that was read before the
    /// round of the event loop that is over.
    SentAt newest = 0;
    TimePoint newestAt{};
    SentAt atTick = 0;
    SentAt settled = 0;
    SentAt acknowledged = 0;
    TimePoint acknowledgedAt{};
    TimePoint askedAt{};
    TimePoint contact{};
    TimePoint toldUntil{};
  };

  std::map<VmId, Peer> m_peers;
  TimePoint m_tickAt;
  TimePoint m_previousTickAt;
};

} // namespace cowslippin
