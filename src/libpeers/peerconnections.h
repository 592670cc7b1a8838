#pragma once

#include "peermessage.h"
#include "reachabilityprobe.h"
#include "silencedetector.h"

#include "libprotocol/websockettransport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippin {

/// Keeps a WebSocket connection to every other known daemon. Daemons exchange
/// the addresses that they know. Of two daemons the one with the lower address
/// dials; the other one dials too if it hears nothing. Everything runs on the
/// thread of the I/O context.
class PeerConnections
{
public:
  struct Settings
  {
    /// When a silent connection is given up.
    SilenceDetector::Settings silence;
    /// Timeout of a new connection, its `PeerHello` included.
    Duration connectTimeout = std::chrono::milliseconds(600);
    /// How long an accepted connection may stay open without a `PeerHello`.
    Duration helloTimeout = std::chrono::seconds(5);
    /// Limit of connections being established at the same time. Without it, a
    /// large group that starts at once would establish none within the timeout.
    std::size_t maxConcurrentDials = 24;
    /// Limits of accepted connections without a `PeerHello`, and of all of
    /// them. Beyond either, the oldest without a `PeerHello` is closed.
    std::size_t maxUnidentified = 128;
    std::size_t maxAccepted = 1024;
    Duration reconnectMin = std::chrono::milliseconds(150);
    Duration reconnectMax = std::chrono::milliseconds(1200);
    /// Host to listen on if it differs from the host that others connect to,
    /// which may be the address of a relay.
    std::string listenHost;
    /// An address that could not be reached for this long is removed unless the
    /// platform still lists it.
    Duration unreachableRemovalDelay = std::chrono::seconds(30);
  };

  /// No hook may be empty.
  struct Hooks
  {
    std::function<void(const PeerHello&)> connected;
    std::function<void(const VmId&, PeerLoss)> disconnected;
    std::function<void(const VmId&, const PeerMessage&)> received;
  };

  PeerConnections(boost::asio::io_context& context,
                  PeerHello self,
                  Settings settings,
                  Hooks hooks);

  /// Listens at the daemon's own address.
  std::optional<Problem> listen();

  /// Adds the address of a daemon to connect to.
  void addAddress(const Address& address, TimePoint now);
  std::size_t knownPeerCount() const { return m_peers.size(); }

  /// Returns false if there is no connection.
  bool send(const VmId& vm, const PeerMessage& message);
  /// Sends a message to those of the daemons that are connected.
  void sendToEach(const std::vector<VmId>& vms, const PeerMessage& message);
  /// Sets whether this daemon shares jobs with another one, so that it has to
  /// notice the other's loss soon.
  void setSharesJobs(const VmId& vm, bool isClose, TimePoint now);
  bool isConnected(const VmId& vm) const;
  std::set<VmId> connectedPeers() const;

  /// Drops every connection, for example after the process was paused.
  void closeAll(TimePoint now);
  /// Tries to reach some of the daemons that aren't connected, by TCP
  /// connections of their own. Calls the function for each one that answers.
  void probeMissing(const std::function<void()>& reached);
  /// Dials all daemons that aren't connected, without further delay.
  void connectMissing(TimePoint now);
  /// Dials daemons and gives up silent connections; to be called about every 20
  /// ms. A connection is given up only if nothing is read from it in a complete
  /// turn of the event loop after its limit either: when the loop is late,
  /// messages may be waiting in the socket.
  void tick(TimePoint now);
  void close();

private:
  struct Peer
  {
    std::optional<LinkId> link;
    std::optional<LinkId> dialled;
    TimePoint dialledAt{};
    TimePoint nextDialAt{};
    Duration backoff = Duration::zero();
    TimePoint lastUp{};
    Incarnation incarnation;
    VmId vm;
  };
  struct Link
  {
    /// Empty until the peer's `PeerHello` was received.
    std::optional<Address> peer;
    SilenceDetector silence;
    bool isDialled = false;
    TimePoint openedAt{};
  };

  WebSocketTransport::Hooks transportHooks();
  void accepted(LinkId link);
  void received(LinkId link, const std::string& bytes);
  bool isRetiredSubmit(const Peer& peer,
                       LinkId link,
                       const PeerMessage& message) const;
  void closed(LinkId link);
  bool isAcceptable(const Link& link, const PeerHello& hello) const;
  void forgetVm(const Address& address);
  void helloReceived(LinkId link, const PeerHello& hello);
  bool isDialledByOtherSide(const Peer& peer, LinkId link) const;
  bool isPreferred(LinkId link, const Address& address) const;
  void retire(LinkId link, TimePoint now);
  void dropRetired(TimePoint now);
  void dropNameless(TimePoint now);
  void lost(Peer& peer, PeerLoss loss, TimePoint now);
  void giveUpAfterLoopTurn(LinkId link);
  void giveUpIfUnread(LinkId link, TimePoint lastReceivedAt);
  Link* linkTo(const VmId& vm);
  void sendUnknownAddresses(LinkId link, const PeerHello& hello);
  void dialDuePeers(TimePoint now);
  void dial(const Address& address, Peer& peer, TimePoint now);
  void dialFailed(Peer& peer, TimePoint now);
  bool write(LinkId link, const PeerMessage& message);
  static bool mayBeSent(const std::vector<std::uint8_t>& bytes,
                        const PeerMessage& message);
  PeerHello hello() const;

  const PeerHello m_self;
  const Settings m_settings;
  const Hooks m_hooks;
  boost::asio::io_context& m_context;
  WebSocketTransport m_transport;
  const TimePoint m_startedAt;
  ReachabilityProbe m_probe;
  std::map<Address, Peer> m_peers;
  std::map<VmId, Address> m_addresses;
  std::map<LinkId, Link> m_links;
  /// Duplicate connections that aren't used any more, and when each is dropped.
  std::deque<std::pair<LinkId, TimePoint>> m_retired;
  /// Overdue connections whose turn of the event loop is in progress.
  std::set<LinkId> m_overdue;
  /// Expires with this object, so that posted functions don't use it any more.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowslippin
