#pragma once

#include "peermessage.h"
#include "silencewatch.h"

#include "libprotocol/websockettransport.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cowslippin {

/// Keeps a WebSocket connection to every other daemon that is known. Daemons
/// tell each other whom they know. The one with the lower address dials; the
/// other does so as well if it hears nothing. Everything runs on the thread of
/// the I/O context.
class PeerLinks
{
public:
  struct Settings
  {
    /// When a connection over which nothing comes is given up.
    SilenceWatch::Settings silence;
    /// How long a new connection may take, its greeting included.
    Duration connectTimeout = std::chrono::milliseconds(600);
    /// Connections that are being made at a time: a large group that starts all
    /// at once would else make none within the timeout.
    std::size_t maxDialling = 24;
    Duration reconnectMin = std::chrono::milliseconds(150);
    Duration reconnectMax = std::chrono::milliseconds(1200);
    /// Where to listen, if not at the host that others connect to: that may be
    /// the address of a relay.
    std::string listenHost;
    /// A daemon that could not be reached for so long is forgotten unless the
    /// platform still lists it.
    Duration forgetAfter = std::chrono::seconds(30);
  };

  /// None may be empty.
  struct Hooks
  {
    std::function<void(const PeerHello&)> up;
    std::function<void(const VmId&, PeerLoss)> down;
    std::function<void(const VmId&, const PeerMessage&)> received;
  };

  PeerLinks(boost::asio::io_context& context,
            PeerHello self,
            Settings settings,
            Hooks hooks);

  /// Listens at the daemon's own address.
  std::optional<Problem> listen();

  /// Adds a daemon to be connected with.
  void addKnown(const Address& address, TimePoint now);
  std::size_t knownCount() const { return m_peers.size(); }

  /// False if there is no connection.
  bool send(const VmId& vm, const PeerMessage& message);
  /// To those of them that there is a connection to.
  void sendToEach(const std::vector<VmId>& vms, const PeerMessage& message);
  /// Whether there are jobs in common with a daemon, so that its loss has to be
  /// noticed soon.
  void setClose(const VmId& vm, bool isClose, TimePoint now);
  bool isUp(const VmId& vm) const;
  std::set<VmId> up() const;

  /// Drops every connection, as after a pause of the process.
  void dropAll(TimePoint now);
  /// Dials and gives silent connections up; to be called every 20 ms or so.
  void tick(TimePoint now);
  /// Closes every connection.
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
    /// Empty until the peer has greeted.
    std::optional<Address> peer;
    SilenceWatch silence;
    bool isDialled = false;
  };

  WebSocketTransport::Hooks transportHooks();
  void accepted(LinkId link);
  void received(LinkId link, const std::string& bytes);
  bool isRetiredSubmit(const Peer& peer,
                       LinkId link,
                       const PeerMessage& message) const;
  void closed(LinkId link);
  void greeted(LinkId link, const PeerHello& hello);
  bool isOfOtherSide(const Peer& peer, LinkId link) const;
  bool isPreferred(LinkId link, const Address& address) const;
  void retire(LinkId link, TimePoint now);
  void dropRetired(TimePoint now);
  void lost(Peer& peer, PeerLoss loss, TimePoint now);
  Link* linkTo(const VmId& vm);
  void tellUnknown(LinkId link, const PeerHello& hello);
  void dialDue(TimePoint now);
  void dial(const Address& address, Peer& peer, TimePoint now);
  void dialFailed(Peer& peer, TimePoint now);
  void write(LinkId link, const PeerMessage& message);
  PeerHello hello() const;

  const PeerHello m_self;
  const Settings m_settings;
  const Hooks m_hooks;
  WebSocketTransport m_transport;
  const TimePoint m_startedAt;
  std::map<Address, Peer> m_peers;
  std::map<VmId, Address> m_addresses;
  std::map<LinkId, Link> m_links;
  /// Connections that aren't kept, and when each is dropped.
  std::deque<std::pair<LinkId, TimePoint>> m_retired;
};

} // namespace cowslippin
