#include "support/relay.h"

#include "libprotocol/protocol.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <string>

namespace cowslippin {
namespace {

using namespace std::chrono_literals;
using cowslippin::testing::Relay;
namespace asio = boost::asio;
using asio::ip::tcp;

/// Only a test that hangs runs into it.
constexpr auto hangLimit = 20s;

/// A network of its own that writes down what its hooks are told.
class Node
{
public:
  static PeerNetwork::Settings settings(const std::string& vm,
                                        const std::string& incarnation = "1")
  {
    PeerNetwork::Settings settings;
    settings.listen = Address("127.0.0.1", 0);
    settings.self =
      Hello({ VmId(vm), Incarnation(incarnation), ZoneName("z"), 1 });
    settings.heartbeatInterval = 50ms;
    settings.silenceLimit = 5s;
    settings.connectTimeout = 5s;
    settings.reconnectMin = 20ms;
    return settings;
  }

  explicit Node(const PeerNetwork::Settings& settings)
    : m_network(settings, hooks())
    , m_id(settings.self.vm())
    , m_address(m_network.start().value())
  {
  }

  PeerNetwork& network() { return m_network; }
  const VmId& id() const { return m_id; }
  const Address& address() const { return m_address; }

  void setPeer(const VmId& id, const Address& address)
  {
    VirtualMachine::Fields fields;
    fields.id = id;
    fields.peerAddress = address;
    m_network.setPeers({ VirtualMachine(fields) });
  }

  std::size_t count(const std::string& event) const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::count(m_events.begin(), m_events.end(), event);
  }

  /// Waits until `event` was noted `times` times.
  bool await(const std::string& event, std::size_t times = 1)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, hangLimit, [&] {
      const auto seen = std::count(m_events.begin(), m_events.end(), event);
      return static_cast<std::size_t>(seen) >= times;
    });
  }

private:
  PeerNetwork::Hooks hooks()
  {
    PeerNetwork::Hooks hooks;
    hooks.peerUp = [this](const VmId& vm, const Hello& hello) {
      note("up " + vm.value() + " " + hello.incarnation().value());
    };
    hooks.peerDown = [this](const VmId& vm) { note("down " + vm.value()); };
    hooks.reconnected = [this](const VmId& vm) {
      note("reconnected " + vm.value());
    };
    hooks.refused = [this](const VmId&, const Problem& problem) {
      note("refused " + problem.field());
    };
    hooks.received = [this](const VmId& vm, const Message& message) {
      received(vm, message);
    };
    return hooks;
  }

  void received(const VmId& vm, const Message& message)
  {
    if (const auto* call = std::get_if<OwnerCall>(&message)) {
      OwnerReply::Fields reply;
      reply.requestId = call->requestId();
      m_network.send(vm, OwnerReply(reply));
    } else if (const auto* reply = std::get_if<OwnerReply>(&message)) {
      note("reply " + std::to_string(reply->requestId()));
    } else if (const auto offset = configOffsetOf(message)) {
      note("offset " + std::to_string(*offset));
    }
  }

  void note(std::string event)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_events.push_back(std::move(event));
    m_changed.notify_all();
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_events;
  PeerNetwork m_network;
  VmId m_id;
  Address m_address;
};

OwnerCall
ownerCall(std::uint64_t requestId)
{
  OwnerCall::Fields fields;
  fields.requestId = requestId;
  fields.key = SubmissionKey("k");
  return OwnerCall(fields);
}

/// Whether a call goes there and its reply comes back.
bool
exchanges(Node& from, const Node& to, std::uint64_t requestId)
{
  return from.network().send(to.id(), ownerCall(requestId)) &&
         from.await("reply " + std::to_string(requestId));
}

TEST(PeerNetwork, carriesMessagesBothWaysOverOneConnection)
{
  Node a(Node::settings("vm-a"));
  Node b(Node::settings("vm-b"));
  EXPECT_FALSE(a.network().send(b.id(), ownerCall(1)));
  a.setPeer(b.id(), b.address());
  ASSERT_TRUE(a.await("up vm-b 1"));
  ASSERT_TRUE(b.await("up vm-a 1"));
  EXPECT_TRUE(exchanges(a, b, 2));
  EXPECT_TRUE(exchanges(b, a, 3));
  EXPECT_FALSE(a.network().send(VmId("vm-x"), ownerCall(4)));
}

TEST(PeerNetwork, heartbeatsTellTheNewestOffsetToBothSides)
{
  Node a(Node::settings("vm-a"));
  Node b(Node::settings("vm-b"));
  a.setPeer(b.id(), b.address());
  ASSERT_TRUE(b.await("up vm-a 1"));
  a.network().setConfigOffset(7);
  b.network().setConfigOffset(9);
  EXPECT_TRUE(b.await("offset 7"));
  EXPECT_TRUE(a.await("offset 9", 2));
  const PeerStatus status = a.network().status().at(0);
  EXPECT_EQ(status.configOffset(), 9U);
  EXPECT_EQ(status.zone(), ZoneName("z"));
  EXPECT_TRUE(status.connected());
  EXPECT_TRUE(status.roundTrip());
}

TEST(PeerNetwork, replacesASilentConnectionWithoutReportingThePeerDown)
{
  PeerNetwork::Settings settings = Node::settings("vm-a");
  settings.silenceLimit = 1s;
  Node a(settings);
  settings.self = Node::settings("vm-b").self;
  Node b(settings);
  Relay relay(b.address());
  a.setPeer(b.id(), relay.address());
  ASSERT_TRUE(b.await("up vm-a 1"));
  ASSERT_TRUE(exchanges(a, b, 1));
  relay.silenceOpenConnections();
  ASSERT_TRUE(a.await("reconnected vm-b"));
  ASSERT_TRUE(b.await("reconnected vm-a"));
  EXPECT_TRUE(exchanges(a, b, 2));
  EXPECT_TRUE(exchanges(b, a, 3));
  EXPECT_EQ(a.count("down vm-b"), 0U);
  EXPECT_EQ(b.count("down vm-a"), 0U);
}

TEST(PeerNetwork, reportsASilentPeerDownWhenNewConnectionsAreSilentToo)
{
  PeerNetwork::Settings settings = Node::settings("vm-a");
  settings.silenceLimit = 1s;
  settings.connectTimeout = 300ms;
  Node a(settings);
  settings.self = Node::settings("vm-b").self;
  Node b(settings);
  Relay relay(b.address());
  a.setPeer(b.id(), relay.address());
  ASSERT_TRUE(b.await("up vm-a 1"));
  relay.silenceNewConnections();
  relay.silenceOpenConnections();
  EXPECT_TRUE(a.await("down vm-b"));
  EXPECT_TRUE(b.await("down vm-a"));
}

TEST(PeerNetwork, reportsARestartedPeerWithItsNewIncarnation)
{
  Node a(Node::settings("vm-a"));
  Address address;
  {
    Node b(Node::settings("vm-b", "1"));
    address = b.address();
    a.setPeer(b.id(), address);
    ASSERT_TRUE(a.await("up vm-b 1"));
  }
  ASSERT_TRUE(a.await("down vm-b"));
  PeerNetwork::Settings settings = Node::settings("vm-b", "2");
  settings.listen = address;
  Node b(settings);
  ASSERT_TRUE(a.await("up vm-b 2"));
  EXPECT_TRUE(exchanges(a, b, 1));
}

TEST(PeerNetwork, forgetsAVmThatIsNoLongerListed)
{
  Node a(Node::settings("vm-a"));
  Node b(Node::settings("vm-b"));
  a.setPeer(b.id(), b.address());
  ASSERT_TRUE(b.await("up vm-a 1"));
  a.network().setPeers({});
  EXPECT_TRUE(a.await("down vm-b"));
  EXPECT_TRUE(b.await("down vm-a"));
}

/// Speaks to a node without the library.
class RawClient
{
public:
  explicit RawClient(const Address& address)
    : m_socket(m_context)
  {
    const auto host = asio::ip::make_address(address.host());
    m_socket.connect(tcp::endpoint(host, address.port()));
  }

  void write(const std::string& bytes)
  {
    boost::system::error_code error;
    asio::write(m_socket, asio::buffer(bytes), error);
  }

  /// Writes a WebSocket handshake and `bytes` right behind it.
  void openWebSocket(const std::string& bytes)
  {
    write("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
          "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
          "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n" +
          bytes);
  }

  /// Reads until the node closes the connection.
  void awaitClosed()
  {
    boost::system::error_code error;
    std::string rest;
    asio::read(m_socket, asio::dynamic_buffer(rest), error);
    EXPECT_TRUE(error);
  }

private:
  asio::io_context m_context;
  tcp::socket m_socket;
};

/// A masked binary frame of fewer than 126 bytes; the mask is zero.
std::string
frame(const std::string& payload)
{
  const char binaryOpcode = '\x82';
  const char maskBit = '\x80';
  const char length = static_cast<char>(maskBit | payload.size());
  return std::string{ binaryOpcode, length } + std::string(4, '\0') + payload;
}

TEST(PeerNetwork, hostileBytesDoNotHurtOthers)
{
  Node a(Node::settings("vm-a"));
  Node b(Node::settings("vm-b"));
  a.setPeer(b.id(), b.address());
  ASSERT_TRUE(b.await("up vm-a 1"));
  const std::string hugeLength("\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff", 10);
  const std::vector<std::string> table{
    frame("not CBOR"),  frame(std::string(100, '\x81')),
    frame(""),          hugeLength + std::string(64, '\0'),
    "\xff\xff\xff\xff",
  };
  for (const std::string& bytes : table) {
    RawClient client(b.address());
    client.openWebSocket(bytes);
    client.awaitClosed();
  }
  RawClient noWebSocket(b.address());
  noWebSocket.write("\x01\x02\r\n\r\n");
  noWebSocket.awaitClosed();
  EXPECT_TRUE(exchanges(a, b, 1));
  EXPECT_EQ(a.count("up vm-b 1"), 1U);
  EXPECT_EQ(b.count("reconnected vm-a"), 0U);
}

TEST(PeerNetwork, refusesAHelloOfAnotherVersion)
{
  Node b(Node::settings("vm-b"));
  RawClient client(b.address());
  std::vector<std::uint8_t> hello = encode(Node::settings("vm-a").self);
  const std::string member = "version";
  const auto found =
    std::search(hello.begin(), hello.end(), member.begin(), member.end());
  *(found + static_cast<std::ptrdiff_t>(member.size())) = protocolVersion + 1;
  client.openWebSocket(frame(std::string(hello.begin(), hello.end())));
  EXPECT_TRUE(b.await("refused version"));
  client.awaitClosed();
}

TEST(PeerNetwork, sendsNoMessageThatIsTooLong)
{
  PeerNetwork::Settings settings = Node::settings("vm-a");
  settings.maxMessageBytes = 1000;
  Node a(settings);
  Node b(Node::settings("vm-b"));
  a.setPeer(b.id(), b.address());
  ASSERT_TRUE(a.await("up vm-b 1"));
  const std::string body(1000, 'x');
  EXPECT_FALSE(a.network().send(b.id(), ConfigTransfer({ 1, body })));
  EXPECT_TRUE(exchanges(a, b, 1));
}

TEST(PeerNetwork, dropsAConnectionWhosePeerDoesNotRead)
{
  PeerNetwork::Settings settings = Node::settings("vm-b");
  settings.maxBufferedBytes = 1 << 20U;
  settings.silenceLimit = hangLimit;
  settings.connectTimeout = 1s;
  Node b(settings);
  RawClient client(b.address());
  const auto hello = encode(Node::settings("vm-a").self);
  client.openWebSocket(frame(std::string(hello.begin(), hello.end())));
  ASSERT_TRUE(b.await("up vm-a 1"));
  const ConfigTransfer transfer({ 1, std::string(1 << 16U, 'x') });
  constexpr int farTooMany = 1000;
  int sent = 0;
  while (b.count("down vm-a") == 0 && sent < farTooMany)
    sent += b.network().send(VmId("vm-a"), transfer) ? 1 : 0;
  EXPECT_TRUE(b.await("down vm-a"));
}

TEST(PeerNetwork, deliversWhatWasQueuedBeforeItStops)
{
  Node b(Node::settings("vm-b"));
  constexpr std::size_t count = 200;
  {
    Node a(Node::settings("vm-a"));
    a.setPeer(b.id(), b.address());
    ASSERT_TRUE(a.await("up vm-b 1"));
    for (std::size_t i = 0; i < count; ++i) {
      OwnerReply::Fields fields;
      fields.requestId = 5;
      fields.body = std::string(10000, 'x');
      ASSERT_TRUE(a.network().send(b.id(), OwnerReply(fields)));
    }
    a.network().stop();
    EXPECT_FALSE(a.network().send(b.id(), ownerCall(1)));
  }
  EXPECT_TRUE(b.await("reply 5", count));
  EXPECT_TRUE(b.await("down vm-a"));
}

TEST(PeerNetwork, stopsWhileConnectingAndWithASilentConnection)
{
  Node b(Node::settings("vm-b"));
  Relay relay(b.address());
  Node a(Node::settings("vm-a"));
  a.setPeer(b.id(), relay.address());
  ASSERT_TRUE(a.await("up vm-b 1"));
  relay.silenceNewConnections();
  Node c(Node::settings("vm-1"));
  c.setPeer(b.id(), relay.address());
  relay.silenceOpenConnections();
  a.network().stop();
  c.network().stop();
}

TEST(PeerNetwork, namesAnAddressThatCannotBeUsed)
{
  Node a(Node::settings("vm-a"));
  PeerNetwork::Settings settings = Node::settings("vm-b");
  for (const Address& listen :
       { Address("not an IP number", 0), a.address() }) {
    settings.listen = listen;
    PeerNetwork network(settings, {});
    const Result<Address> address = network.start();
    ASSERT_FALSE(address);
    EXPECT_EQ(address.error().field(), "peer address");
    EXPECT_EQ(address.error().value(), listen.toString());
  }
}

} // namespace
} // namespace cowslippin
