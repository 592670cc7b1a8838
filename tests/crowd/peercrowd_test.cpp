#include "crowddaemon.h"

#include <algorithm>

namespace cowslippin::testing {
namespace {

constexpr unsigned crowdSize = 40;
/// More than the daemon has descriptors for.
constexpr unsigned largeCrowdSize = 900;
constexpr std::size_t pieceBytes = std::size_t(16) << 10;

const std::string handshakeBegin = "GET / HTTP/1.1\r\nHost: daemon\r\n"
                                   "Upgrade: websocket\r\n"
                                   "Connection: Upgrade\r\n"
                                   "Sec-WebSocket-Version: 13\r\n"
                                   "Sec-WebSocket-Key: "
                                   "dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// The bytes of a text, piece by piece.
std::function<std::string(std::size_t)>
pieces(const std::string& text)
{
  return [text](std::size_t sent) { return text.substr(sent, pieceBytes); };
}

/// Guards against descriptors that connections without a hello take.
TEST_F(CrowdDaemon, ConnectionsToThePeerPortStayWithinDescriptors)
{
  addClients(largeCrowdSize,
             { peerAddress(), pieces(handshakeBegin + "\r\n") });
  checkServiceBesideCrowd();
}

/// Guards against memory of handshakes with bodies that stop short of their
/// end.
TEST_F(CrowdDaemon, BodiesOfPeerHandshakesStayWithinMemory)
{
  constexpr std::size_t size = std::size_t(4) << 20;
  addClients(
    crowdSize,
    { peerAddress(),
      pieces("POST / HTTP/1.1\r\nHost: daemon\r\nContent-Length: " +
             std::to_string(size) + "\r\n\r\n" + std::string(size - 8, 'x')) });
  checkServiceBesideCrowd();
}

/// Guards against memory of handshakes with many short fields.
TEST_F(CrowdDaemon, HeadersOfPeerHandshakesStayWithinMemory)
{
  std::string header = handshakeBegin;
  for (unsigned i = 1000; i < 3000; ++i)
    header += std::to_string(i) + ":\r\n";
  addClients(4 * crowdSize, { peerAddress(), pieces(header + "\r\n") });
  checkServiceBesideCrowd();
}

/// Guards against memory of messages that stop short of their end.
TEST_F(CrowdDaemon, MessagesToThePeerPortStayWithinMemory)
{
  constexpr std::size_t size = std::size_t(1) << 20;
  const std::string frame("\x82\xff\0\0\0\0\0\x10\0\0\0\0\0\0", 14);
  addClients(
    crowdSize,
    { peerAddress(),
      pieces(handshakeBegin + "\r\n" + frame + std::string(size - 8, 'x')) });
  checkServiceBesideCrowd();
}

/// Guards against memory of pongs to clients that don't read.
TEST_F(CrowdDaemon, PingsToThePeerPortStayWithinMemory)
{
  constexpr std::size_t size = std::size_t(4) << 20;
  std::string pings;
  while (pings.size() < size)
    pings.append("\x89\x80\0\0\0\0", 6);
  addClients(crowdSize,
             { peerAddress(), pieces(handshakeBegin + "\r\n" + pings), false });
  checkServiceBesideCrowd();
}

} // namespace
} // namespace cowslippin::testing
