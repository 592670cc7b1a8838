#pragma once

#include "linkid.h"
#include "websocketconfig.h"

#include "libcore/address.h"
#include "libcore/clock.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace cowslippin {

/// Opens, accepts and closes WebSocket connections and carries binary messages
/// over them. All functions are for the thread that runs the I/O context.
class WebSocketTransport
{
public:
  struct Settings
  {
    std::size_t maxMessageBytes = 0;
    /// A connection with more than this to be written is ended as lost.
    std::size_t maxBufferedBytes = 0;
    /// Bounds the WebSocket handshake and the closing handshake.
    Duration handshakeTimeout = {};
    /// Limit of accepted connections whose peer isn't identified. When one more
    /// is accepted, the oldest of them is ended. A group of daemons that starts
    /// together is smaller.
    std::size_t maxUnidentified = 128;
    /// Limit of all accepted connections. Beyond it, too, the oldest whose peer
    /// isn't identified is ended.
    std::size_t maxAccepted = 1024;
  };

  /// None of these may be empty. None is called from within `dial`, `send`,
  /// `drop` or `close`.
  struct Hooks
  {
    std::function<void(LinkId)> accepted;
    std::function<void(LinkId, const std::string& bytes)> received;
    std::function<void(LinkId, LinkEnd)> closed;
  };

  /// `context` has to outlive the transport.
  WebSocketTransport(boost::asio::io_context& context,
                     Settings settings,
                     Hooks hooks);
  ~WebSocketTransport();
  WebSocketTransport(const WebSocketTransport&) = delete;
  WebSocketTransport& operator=(const WebSocketTransport&) = delete;

  /// Starts to accept connections. Returns the address with its real port.
  Result<Address> listen(const Address& address);

  /// Starts to connect. If that fails, `closed` follows.
  LinkId dial(const Address& address);

  /// Tells that the peer of an open connection has said which daemon it is, so
  /// that the connection isn't ended in favour of a new one. Until then
  /// messages of over 128 KB end it.
  void identified(LinkId link);

  /// Queues a message for an open connection; does nothing for another.
  void send(LinkId link, const std::vector<std::uint8_t>& bytes);

  /// Ends a connection at once, without a word to the peer. No hook follows.
  void drop(LinkId link);

  /// Ends a connection after what was queued for it, telling the peer that
  /// this side is going away. No hook follows.
  void close(LinkId link);

  /// Closes all connections and accepts no more. `isIdle` tells when it is
  /// done.
  void closeAll();

  /// Whether no connection is open, being opened or being closed.
  bool isIdle() const { return m_links.empty() && m_closing.empty(); }

private:
  using ConnectionPtr = WebSocketConnection::ptr;

  void setUp(WebSocketClient& client);
  void setUp(WebSocketServer& server);
  void setHandlers(LinkId link, const ConnectionPtr& connection);
  void connectionAccepted(const websocketpp::connection_hdl& handle);
  void boundAccepted();
  void logLimit();
  void forgetAccepted(LinkId link);
  void acceptedOpen(LinkId link);
  void dialledOpen(LinkId link);
  void ended(LinkId link);
  void endLater(LinkId link);
  ConnectionPtr find(LinkId link) const;
  static void abort(const ConnectionPtr& connection);

  boost::asio::io_context& m_context;
  const Settings m_settings;
  const Hooks m_hooks;
  WebSocketClient m_client;
  WebSocketServer m_server;
  LinkId m_lastLink = 0;
  bool m_isClosing = false;
  /// Connections that are open or being dialled.
  std::map<LinkId, ConnectionPtr> m_links;
  /// Accepted connections, also during their handshakes.
  std::map<LinkId, ConnectionPtr> m_accepted;
  /// Those of them whose peer isn't identified, the oldest first.
  std::set<LinkId> m_unidentified;
  /// Connections that were ended for the limits since that was logged.
  std::size_t m_endedUnlogged = 0;
  TimePoint m_nextLimitLogAt{};
  /// Connections that nobody is told of any more.
  std::map<LinkId, ConnectionPtr> m_closing;
};

} // namespace cowslippin
