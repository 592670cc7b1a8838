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
    m_nodes.push_back(std::make_unique<Node>());
    Node& node = *m_nodes.back();
    PeerHello hello;
    hello.vm = VmId("vm-" + std::to_string(number));
    hello.incarnation = Incarnation(std::to_string(number));
    hello.zone = ZoneName("z1");
    hello.address = at(number);
    PeerConnections::Hooks hooks;
    hooks.connected = [&node](const PeerHello&) { ++node.ups; };
    hooks.disconnected = [&node](const VmId&, PeerLoss) { ++node.downs; };
    hooks.received = [](const VmId&, const PeerMessage&) {};
    node.links =
      std::make_unique<PeerConnections>(m_context, hello, settings, hooks);
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

  boost::asio::io_context m_context;
  const std::uint16_t m_port = freePort();
  std::vector<std::unique_ptr<Node>> m_nodes;
  TimePoint m_nextTickAt{};
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
