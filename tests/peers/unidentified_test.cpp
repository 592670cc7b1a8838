#include "libpeers/peers.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

#include <netinet/tcp.h>

namespace cowslippin::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Only a test that hangs runs into it.
constexpr Duration hangLimit = std::chrono::seconds(20);

constexpr char handshake[] =
  "GET / HTTP/1.1\r\nHost: daemon\r\nUpgrade: websocket\r\n"
  "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
  "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// A connection of a program that isn't a daemon.
class Stranger
{
public:
  Stranger(asio::io_context& context, const Address& address)
    : m_socket(context)
  {
    m_socket.open(tcp::v4());
    m_socket.set_option(tcp::socket::send_buffer_size(1 << 14));
    m_socket.connect(
      { asio::ip::make_address(address.host()), address.port() });
    m_socket.non_blocking(true);
  }

  /// Sends what fits into the buffers. Returns the number of bytes, 0 also if
  /// the connection is closed.
  std::size_t send(const std::string& bytes)
  {
    boost::system::error_code error;
    return m_socket.write_some(asio::buffer(bytes), error);
  }

  /// Reads what has arrived. Returns false if the connection is closed.
  bool isOpen()
  {
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
      m_received.append(buffer.data(), size);
    }
    return error == asio::error::would_block;
  }

  /// The largest window that the other side can ever have announced, in bytes.
  std::size_t largestWindow()
  {
    constexpr std::size_t maxUnscaled = 65535;
    tcp_info info{};
    socklen_t size = sizeof info;
    EXPECT_EQ(
      getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size),
      0);
    return maxUnscaled << info.tcpi_snd_wscale;
  }

  const std::string& received() const { return m_received; }

private:
  tcp::socket m_socket;
  std::string m_received;
};

/// A daemon, another one that it doesn't know, and strangers. No timeout of a
/// connection ends before the test does.
class UnidentifiedTest : public ::testing::Test
{
protected:
  struct Node
  {
    std::unique_ptr<PeerConnections> links;
    unsigned ups = 0;
    unsigned received = 0;
  };

  static PeerConnections::Settings settings()
  {
    PeerConnections::Settings settings;
    settings.connectTimeout = 3 * hangLimit;
    settings.helloTimeout = 3 * hangLimit;
    settings.silence.sharedJobsLimit = 3 * hangLimit;
    settings.maxUnidentified = 8;
    settings.maxAccepted = 12;
    return settings;
  }

  void SetUp() override { start(m_daemon, 1); }

  void start(Node& node, unsigned number)
  {
    PeerHello hello;
    hello.vm = VmId("vm-" + std::to_string(number));
    hello.incarnation = Incarnation(std::to_string(number));
    hello.zone = ZoneName("z1");
    hello.address = Address("127.0.0." + std::to_string(number), m_port);
    PeerConnections::Hooks hooks;
    hooks.connected = [&node](const PeerHello&) { ++node.ups; };
    hooks.disconnected = [](const VmId&, PeerLoss) {};
    hooks.received = [&node](const VmId&, const PeerMessage&) {
      ++node.received;
    };
    node.links =
      std::make_unique<PeerConnections>(m_context, hello, settings(), hooks);
    ASSERT_EQ(node.links->listen(), std::nullopt);
  }

  static std::uint16_t freePort()
  {
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
  }

  Address address() const { return { "127.0.0.1", m_port }; }

  Stranger& addStranger()
  {
    m_strangers.push_back(std::make_unique<Stranger>(m_context, address()));
    return *m_strangers.back();
  }

  std::size_t openStrangers()
  {
    return static_cast<std::size_t>(
      std::count_if(m_strangers.begin(), m_strangers.end(), [](auto& stranger) {
        return stranger->isOpen();
      }));
  }

  /// Lets the daemons do all that they can do now.
  void run()
  {
    while (m_context.poll() > 0) {
    }
    m_context.run_for(milliseconds(20));
  }

  template<class Condition>
  void runUntil(Condition condition)
  {
    const TimePoint limit = steadyNow() + hangLimit;
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      run();
    }
  }

  /// Has another daemon connect.
  void connectDaemon(unsigned number)
  {
    m_others.push_back(std::make_unique<Node>());
    Node& other = *m_others.back();
    start(other, number);
    other.links->addAddress(address(), steadyNow());
    other.links->tick(steadyNow());
    runUntil([&] { return other.ups > 0; });
  }

  asio::io_context m_context;
  const std::uint16_t m_port = freePort();
  Node m_daemon;
  std::vector<std::unique_ptr<Node>> m_others;
  std::vector<std::unique_ptr<Stranger>> m_strangers;
};

/// Guards against descriptors and memory of connections without a byte.
TEST_F(UnidentifiedTest, ConnectionsWithoutAHandshakeAreBounded)
{
  for (unsigned i = 0; i < 40; ++i)
    addStranger();
  runUntil([this] { return openStrangers() <= 8; });
  EXPECT_TRUE(m_strangers.back()->isOpen());
  connectDaemon(2);
  EXPECT_EQ(m_daemon.ups, 1u);
}

/// Guards against descriptors and memory of connections without a hello.
TEST_F(UnidentifiedTest, ConnectionsWithoutAHelloAreBounded)
{
  for (unsigned i = 0; i < 40; ++i)
    addStranger().send(handshake);
  runUntil([this] { return openStrangers() <= 8; });
  EXPECT_TRUE(m_strangers.back()->isOpen());
  connectDaemon(2);
  EXPECT_EQ(m_daemon.ups, 1u);
}

/// Guards against the loss of daemons that are connected when others connect.
TEST_F(UnidentifiedTest, TheConnectionOfADaemonIsNotClosedForAnother)
{
  connectDaemon(2);
  for (unsigned i = 0; i < 40; ++i)
    addStranger();
  runUntil([this] { return openStrangers() <= 8; });
  EXPECT_TRUE(m_daemon.links->isConnected(VmId("vm-2")));
  EXPECT_TRUE(m_others.front()->links->isConnected(VmId("vm-1")));
}

/// Guards against descriptors that accepted connections take from workers and
/// the store.
TEST_F(UnidentifiedTest, AcceptedConnectionsAreBounded)
{
  for (unsigned number = 2; number <= 11; ++number)
    connectDaemon(number);
  for (unsigned i = 0; i < 40; ++i)
    addStranger();
  runUntil([this] { return openStrangers() <= 2; });
  EXPECT_EQ(m_daemon.links->connectedPeers().size(), 10u);
}

/// Guards against memory of the body of a handshake, which no daemon sends.
TEST_F(UnidentifiedTest, AHandshakeWithABodyIsRefused)
{
  Stranger& stranger = addStranger();
  stranger.send("POST / HTTP/1.1\r\nHost: daemon\r\n"
                "Content-Length: 1000000\r\n\r\n");
  runUntil([&] { return !stranger.isOpen(); });
  EXPECT_EQ(stranger.received().rfind("HTTP/1.1 413", 0), 0u)
    << stranger.received();
}

/// Guards against memory of many short fields in the header of a handshake,
/// which take several times their size.
TEST_F(UnidentifiedTest, AHandshakeWithALargeHeaderIsRefused)
{
  std::string header = handshake;
  header.resize(header.size() - 2);
  for (unsigned i = 1000; i < 2000; ++i)
    header += std::to_string(i) + ":\r\n";
  Stranger& stranger = addStranger();
  stranger.send(header + "\r\n");
  runUntil([&] { return !stranger.isOpen(); });
  EXPECT_EQ(stranger.received().rfind("HTTP/1.1 431", 0), 0u)
    << stranger.received();
}

/// Guards against memory of pongs to a program that doesn't read them.
TEST_F(UnidentifiedTest, PingsAreNotAnswered)
{
  Stranger& stranger = addStranger();
  stranger.send(handshake);
  runUntil([&] { return stranger.isOpen() && !stranger.received().empty(); });
  const std::string ping("\x89\x80\0\0\0\0", 6);
  const std::string close("\x88\x80\0\0\0\0", 6);
  const std::string frames = ping + ping + close;
  EXPECT_EQ(stranger.send(frames), frames.size());
  runUntil([&] { return !stranger.isOpen(); });
  const std::string pong("\x8a\0", 2);
  EXPECT_EQ(stranger.received().find(pong), std::string::npos);
}

/// Guards against memory of large messages that are announced by programs that
/// aren't daemons, and never sent to their end.
TEST_F(UnidentifiedTest, ALargeMessageBeforeTheHelloEndsTheConnection)
{
  Stranger& stranger = addStranger();
  stranger.send(handshake);
  runUntil([&] { return stranger.isOpen() && !stranger.received().empty(); });
  const std::string header("\x82\xff\0\0\0\0\0\x08\0\0\0\0\0\0", 14);
  EXPECT_EQ(stranger.send(header), header.size());
  const std::string messageTooBig("\x03\xf1", 2);
  runUntil([&] {
    stranger.isOpen();
    return stranger.received().find(messageTooBig) != std::string::npos;
  });
}

/// Guards against a bound on first messages that large ones of daemons meet.
TEST_F(UnidentifiedTest, ALargeMessageAfterTheHelloIsReceived)
{
  connectDaemon(2);
  constexpr std::size_t size = 500'000;
  const PeerConfigPart part{ 1, size, 0, std::string(size, 'x') };
  EXPECT_TRUE(m_others.front()->links->send(VmId("vm-1"), part));
  runUntil([this] { return m_daemon.received > 0; });
  EXPECT_TRUE(m_daemon.links->send(VmId("vm-2"), part));
  runUntil([this] { return m_others.front()->received > 0; });
}

/// Guards against memory of received bytes that the daemon hasn't read yet: the
/// system lets a connection that is read quickly have more and more of them.
TEST_F(UnidentifiedTest, UnreadBytesOfAConnectionAreBounded)
{
  EXPECT_LT(addStranger().largestWindow(), std::size_t(1) << 20);
}

/// Guards against dials to addresses that a program which isn't a daemon made
/// up, for which daemons that start would wait.
TEST_F(UnidentifiedTest, AddressesBeforeAHelloAreIgnored)
{
  PeerAddresses news;
  for (unsigned i = 0; i < 50; ++i)
    news.addresses.emplace_back("127.9.9." + std::to_string(i + 1), m_port);
  const auto bytes = encodePeerMessage(news);
  std::string frame("\x82\xfe", 2);
  frame += static_cast<char>(bytes.size() >> 8);
  frame += static_cast<char>(bytes.size());
  frame += std::string(4, '\0') + std::string(bytes.begin(), bytes.end());
  const std::string close("\x88\x80\0\0\0\0", 6);
  Stranger& stranger = addStranger();
  stranger.send(handshake + frame + close);
  runUntil([&] { return !stranger.isOpen(); });
  EXPECT_EQ(m_daemon.links->knownPeerCount(), 0u);
}

} // namespace
} // namespace cowslippin::testing
