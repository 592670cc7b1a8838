#include "libpeers/peers.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace cowslippin::testing {
namespace {

std::uint16_t
freePort()
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint().port();
}

/// Connections of several daemons over loopback, all on one thread.
class PeerConnectionsTest : public ::testing::Test
{
protected:
  struct Node
  {
    std::unique_ptr<PeerConnections> links;
    unsigned ups = 0;
    unsigned downs = 0;
  };

  Address at(unsigned number) const
  {
    return { "127.0.0." + std::to_string(number), m_port };
  }

  Node& add(unsigned number, const PeerConnections::Settings& settings = {})
  {
    return add(number, settings, m_context);
  }

  Node& add(unsigned number,
            const PeerConnections::Settings& settings,
            boost::asio::io_context& context)
  {
    m_nodes.push_back(std::make_unique<Node>());
    Node& node = *m_nodes.back();
    PeerHello hello;
    hello.vm =
      VmId("vm-" + std::to_string(number == 1 ? 1 : number + m_firstName));
    hello.incarnation = Incarnation(std::to_string(number));
    hello.zone = ZoneName("z1");
    hello.address = at(number);
    PeerConnections::Hooks hooks;
    hooks.connected = [&node](const PeerHello&) { ++node.ups; };
    hooks.disconnected = [&node](const VmId&, PeerLoss) { ++node.downs; };
    hooks.received = [](const VmId&, const PeerMessage&) {};
    node.links =
      std::make_unique<PeerConnections>(context, hello, settings, hooks);
    EXPECT_EQ(node.links->listen(), std::nullopt);
    return node;
  }

  /// Runs ticks and heartbeats until the condition holds.
  template<class Condition>
  void runUntil(Condition condition)
  {
    const TimePoint limit = steadyNow() + std::chrono::seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      if (steadyNow() >= m_nextTickAt)
        tick();
      m_context.run_one_for(std::chrono::milliseconds(10));
    }
  }

  void tick()
  {
    m_nextTickAt = steadyNow() + std::chrono::milliseconds(50);
    for (const auto& node : m_nodes) {
      node->links->tick(steadyNow());
      const auto up = node->links->connectedPeers();
      node->links->sendToEach({ up.begin(), up.end() }, PeerHeartbeat());
    }
  }

  static void runAllReady(boost::asio::io_context& context)
  {
    while (context.poll() > 0) {
    }
  }

  boost::asio::io_context m_context;
  /// The event loop of a daemon whose messages wait in the sockets of the
  /// others until their loop runs.
  boost::asio::io_context m_otherContext;
  const std::uint16_t m_port = freePort();
  std::vector<std::unique_ptr<Node>> m_nodes;
  TimePoint m_nextTickAt{};
  /// Added to the numbers of VMs, other than the first, in their names.
  unsigned m_firstName = 0;
};

/// Guards against lost connections when daemons dial each other at the same
/// time, as after the loss of all daemons.
TEST_F(PeerConnectionsTest, TwoDaemonsThatDialEachOtherAtOnceStayConnected)
{
  Node& first = add(1);
  Node& second = add(2);
  first.links->addAddress(at(2), steadyNow());
  second.links->addAddress(at(1), steadyNow());
  first.links->tick(steadyNow());
  second.links->tick(steadyNow());
  runUntil([&] { return first.ups > 0 && second.ups > 0; });
  const TimePoint over = steadyNow() + std::chrono::milliseconds(1500);
  runUntil([&] { return steadyNow() > over; });
  EXPECT_EQ(first.downs, 0u);
  EXPECT_EQ(second.downs, 0u);
  EXPECT_TRUE(first.links->isConnected(VmId("vm-2")));
  EXPECT_TRUE(second.links->isConnected(VmId("vm-1")));
}

/// Guards against a peer that is taken for silent while its messages wait in
/// the socket: the event loop of a daemon with little processor time is late by
/// as much as the silence limit.
TEST_F(PeerConnectionsTest, APeerIsSilentOnlyIfNothingIsReadInAWholeTurn)
{
  Node& first = add(1);
  Node& second = add(2, {}, m_otherContext);
  first.links->addAddress(at(2), steadyNow());
  runUntil([&] {
    runAllReady(m_otherContext);
    return first.ups > 0 && second.ups > 0;
  });
  runAllReady(m_otherContext);
  runAllReady(m_context);
  second.links->sendToEach({ VmId("vm-1") }, PeerHeartbeat());
  runAllReady(m_otherContext);
  first.links->tick(steadyNow() + std::chrono::seconds(5));
  runAllReady(m_context);
  EXPECT_EQ(first.downs, 0u);
  EXPECT_TRUE(first.links->isConnected(VmId("vm-2")));
  first.links->tick(steadyNow() + std::chrono::seconds(10));
  EXPECT_EQ(first.downs, 0u);
  runAllReady(m_context);
  EXPECT_EQ(first.downs, 1u);
}

TEST_F(PeerConnectionsTest, ANewDaemonLearnsAllAddressesFromOne)
{
  Node& first = add(1);
  Node& second = add(2);
  Node& third = add(3);
  second.links->addAddress(at(1), steadyNow());
  third.links->addAddress(at(1), steadyNow());
  runUntil([&] {
    return first.links->connectedPeers().size() == 2 &&
           second.links->connectedPeers().size() == 2 &&
           third.links->connectedPeers().size() == 2;
  });
}

/// Guards against a connection that counts as that of two daemons, and is
/// looked up after the loss of one of them.
TEST_F(PeerConnectionsTest, ASecondHelloOnAConnectionIsIgnored)
{
  Node& node = add(1);
  PeerHello hello;
  hello.zone = ZoneName("z1");
  unsigned messages = 0;
  std::unique_ptr<WebSocketTransport> other;
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [](LinkId) {};
  hooks.closed = [](LinkId, LinkEnd) {};
  hooks.received = [&](LinkId link, const std::string&) {
    if (messages++ > 0)
      return;
    for (const char* name : { "vm-8", "vm-9", "vm-8", "vm-1" }) {
      hello.vm = VmId(name);
      hello.incarnation = Incarnation(name);
      hello.address = Address(std::string("127.0.1.") + name[3], m_port);
      other->send(link, encodePeerMessage(hello));
    }
  };
  other = std::make_unique<WebSocketTransport>(
    m_context,
    WebSocketTransport::Settings{ 1 << 20, 1 << 20, std::chrono::seconds(1) },
    hooks);
  const LinkId dialled = other->dial(at(1));
  runUntil([&] { return node.ups > 0; });
  const TimePoint over = steadyNow() + std::chrono::milliseconds(50);
  runUntil([&] { return steadyNow() > over; });
  EXPECT_EQ(node.ups, 1u);
  EXPECT_TRUE(node.links->isConnected(VmId("vm-8")));
  EXPECT_FALSE(node.links->isConnected(VmId("vm-9")));
  other->drop(dialled);
  runUntil([&] { return node.downs > 0; });
  EXPECT_EQ(node.downs, 1u);
}

/// Guards against a lookup of a VM whose address another VM has taken over and
/// which was then removed.
TEST_F(PeerConnectionsTest, ASecondVmAtAnAddressReplacesTheFirst)
{
  PeerConnections::Settings settings;
  settings.unreachableRemovalDelay = std::chrono::milliseconds(300);
  Node& node = add(1, settings);
  std::vector<std::unique_ptr<Node>> closedNodes;
  for (unsigned name = 0; name < 2; ++name) {
    add(2);
    node.links->addAddress(at(2), steadyNow());
    runUntil([&] { return node.ups == name + 1; });
    // Its handlers may still run.
    m_nodes.back()->links->close();
    closedNodes.push_back(std::move(m_nodes.back()));
    m_nodes.pop_back();
    m_firstName += 10;
    runUntil([&] { return node.downs == name + 1; });
  }
  runUntil([&] { return node.links->knownPeerCount() == 0; });
  EXPECT_FALSE(node.links->isConnected(VmId("vm-2")));
  EXPECT_FALSE(node.links->isConnected(VmId("vm-12")));
}

/// Guards against a connection that the receiver closes for a message that is
/// too large.
TEST_F(PeerConnectionsTest, AMessageThatIsTooLargeIsNotSent)
{
  Node& first = add(1);
  Node& second = add(2);
  first.links->addAddress(at(2), steadyNow());
  runUntil([&] { return first.ups > 0 && second.ups > 0; });
  const PeerConfigPart large{ 1, 4 << 20, 0, std::string(2 << 20, 'x') };
  EXPECT_FALSE(first.links->send(VmId("vm-2"), large));
  first.links->sendToEach({ VmId("vm-2") }, large);
  const TimePoint over = steadyNow() + std::chrono::milliseconds(300);
  runUntil([&] { return steadyNow() > over; });
  EXPECT_EQ(first.downs, 0u);
  EXPECT_EQ(second.downs, 0u);
}

/// Guards against descriptors that connections of other programs take.
TEST_F(PeerConnectionsTest, AConnectionWithoutAHelloIsDropped)
{
  PeerConnections::Settings settings;
  settings.helloTimeout = std::chrono::milliseconds(200);
  add(1, settings);
  bool isClosed = false;
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [](LinkId) {};
  hooks.received = [](LinkId, const std::string&) {};
  hooks.closed = [&](LinkId, LinkEnd) { isClosed = true; };
  WebSocketTransport other(
    m_context,
    WebSocketTransport::Settings{ 1 << 20, 1 << 20, std::chrono::seconds(1) },
    hooks);
  other.dial(at(1));
  runUntil([&] { return isClosed; });
}

TEST_F(PeerConnectionsTest, TheNumberOfKnownAddressesIsLimited)
{
  Node& node = add(1);
  for (unsigned i = 0; i < 6000; ++i)
    node.links->addAddress(Address("127.1." + std::to_string(i / 250) + '.' +
                                     std::to_string(i % 250),
                                   m_port),
                           steadyNow());
  EXPECT_EQ(node.links->knownPeerCount(), 4096u);
}

/// Starts daemons together, each of which may make two connections at a time.
TEST_F(PeerConnectionsTest, AGroupThatStartsTogetherConnectsDespiteTheDialLimit)
{
  constexpr unsigned size = 12;
  PeerConnections::Settings settings;
  settings.maxConcurrentDials = 2;
  for (unsigned number = 1; number <= size; ++number)
    add(number, settings);
  for (const auto& node : m_nodes) {
    for (unsigned number = 1; number <= size; ++number)
      node->links->addAddress(at(number), steadyNow());
  }
  runUntil([&] {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& node) {
      return node->links->connectedPeers().size() == size - 1;
    });
  });
}

} // namespace
} // namespace cowslippin::testing
