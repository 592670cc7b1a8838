#pragma once

#include "backoff.h"
#include "linkid.h"
#include "message.h"
#include "peernetwork.h"
#include "peerstatus.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cowslippin {

/// Decides which connections to open and to drop, and when a peer is up or
/// down. It does no I/O and reads no clock: events and times go in, and what
/// is to be done comes out through the hooks, before the function returns.
class PeerTable
{
public:
  /// What the table has done for it. None may be empty, and none may call the
  /// table.
  struct Actions
  {
    /// Starts to connect. The peer's Hello or `closed` follows, but not from
    /// within.
    std::function<LinkId(const Address&)> dial;
    std::function<void(LinkId, const Message&)> send;
    /// Drops a connection at once. No event follows for it.
    std::function<void(LinkId)> drop;
    /// Closes a connection that is no longer wanted, telling the peer. No
    /// event follows for it.
    std::function<void(LinkId)> close;
    /// A peer can be sent to over this connection from now on, or, without
    /// one, not any more. Called before the hooks that report it.
    std::function<void(const VmId&, std::optional<LinkId>)> route;
    /// How this VM describes itself in a Hello.
    std::function<Hello()> self;
    /// What a heartbeat or its reply tells, apart from the sequence.
    std::function<Heartbeat(std::uint64_t sequence)> heartbeat;
  };

  PeerTable(PeerNetwork::Settings settings,
            PeerNetwork::Hooks hooks,
            Actions actions);

  /// Replaces the list of VMs to be connected with.
  void setPeers(const std::vector<VirtualMachine>& vms, TimePoint now);

  /// A connection of some peer has opened.
  void accepted(LinkId link, TimePoint now);

  /// A whole message, or bytes that are none.
  void received(LinkId link, const Result<Message>& message, TimePoint now);

  /// A connection has ended or could not be opened.
  void closed(LinkId link, LinkEnd end, TimePoint now);

  /// Does what has fallen due. Has to be called several times in each of the
  /// settings' durations.
  void tick(TimePoint now);

  /// All known peers by id.
  std::vector<PeerStatus> status() const;

private:
  struct Link
  {
    bool isDialled = false;
    /// The peer it was dialled for or that has named itself on it.
    VmId vm;
    TimePoint startedAt;
    TimePoint lastHeard;
    TimePoint nextHeartbeat;
    std::uint64_t sequence = 0;
    TimePoint heartbeatSentAt;
  };

  struct Peer
  {
    /// Where it listens, while the VM list names it.
    std::optional<Address> address;
    std::optional<Hello> hello;
    /// The connection on which it has named itself.
    std::optional<LinkId> live;
    std::optional<LinkId> dialling;
    TimePoint nextDial;
    /// Connections that failed since the last heartbeat that was answered.
    unsigned failures = 0;
    /// When to report it down unless it connects again.
    std::optional<TimePoint> downAt;
    bool isReportedUp = false;
    Offset configOffset = 0;
    std::uint32_t load = 0;
    std::optional<TimePoint> lastHeard;
    std::optional<Duration> roundTrip;
  };

  using Peers = std::map<VmId, Peer>;
  using Links = std::map<LinkId, Link>;

  bool isSelf(const VmId& vm) const;
  bool isDialledByUs(const VmId& vm, const Peer& peer) const;
  bool isLive(LinkId id, const Link& link) const;

  void setAddress(const VmId& vm, const Address& address, TimePoint now);
  void removePeer(const VmId& vm);

  void dial(const VmId& vm, Peer& peer, TimePoint now);
  void dialIfDue(const VmId& vm, Peer& peer, TimePoint now);
  void forgiveOwnPause(TimePoint now);
  void checkLink(LinkId id, TimePoint now);
  void checkPeer(const VmId& vm, TimePoint now);

  void receivedFirst(LinkId id, const Result<Message>& message, TimePoint now);
  void adopt(LinkId id, const Hello& hello, TimePoint now);
  void receivedLater(LinkId id, const Message& message, TimePoint now);
  void answerHeartbeat(LinkId id, const Heartbeat& heartbeat);
  void heartbeatAnswered(const Link& link,
                         const HeartbeatReply& reply,
                         TimePoint now);

  void fail(LinkId id, TimePoint now);
  void ended(LinkId id, LinkEnd end, TimePoint now);
  void dialFailed(const VmId& vm, TimePoint now);
  void liveLost(const VmId& vm, LinkEnd end, TimePoint now);
  void unroute(const VmId& vm, Peer& peer);
  void reportDown(const VmId& vm);
  void refuse(const VmId& vm, const Problem& problem);

  const PeerNetwork::Settings m_settings;
  const PeerNetwork::Hooks m_hooks;
  const Actions m_actions;
  Backoff m_backoff;
  Peers m_peers;
  Links m_links;
  std::optional<TimePoint> m_lastTick;
};

} // namespace cowslippin
