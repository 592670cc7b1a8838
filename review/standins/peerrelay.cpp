#include "peerrelay.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdint>

namespace review {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// The content of the first WebSocket message that a client has sent, unmasked;
/// an empty text if it isn't complete yet.
std::string
firstMessage(const std::string& sent)
{
  const std::size_t headerEnd = sent.find("\r\n\r\n");
  if (headerEnd == std::string::npos)
    return "";
  std::size_t at = headerEnd + 4;
  const auto byteAt = [&](std::size_t index) -> std::uint64_t {
    return index < sent.size() ? static_cast<unsigned char>(sent[index]) : 0;
  };
  std::uint64_t length = byteAt(at + 1) & 0x7f;
  at += 2;
  if (length == 126) {
    length = byteAt(at) << 8 | byteAt(at + 1);
    at += 2;
  }
  const std::size_t mask = at;
  at += 4;
  if (sent.size() < at + length)
    return "";
  std::string message = sent.substr(at, length);
  for (std::size_t i = 0; i < message.size(); ++i)
    message[i] = static_cast<char>(message[i] ^ sent[mask + i % 4]);
  return message;
}

} // namespace

PeerRelay::PeerRelay(Deployment& deployment, Daemon& target, IsCut isCut)
  : m_deployment(deployment)
  , m_target(target)
  , m_isCut(std::move(isCut))
  , m_acceptor(deployment.context())
{
  const Daemon::Settings& settings = target.settings();
  const tcp::endpoint endpoint(boost::asio::ip::make_address(settings.host),
                               settings.peerPort);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen();
  accept();
  deployment.addTick([this](TimePoint) { tick(); });
}

void
PeerRelay::accept()
{
  const auto link = std::make_shared<Link>(m_deployment.context());
  m_acceptor.async_accept(link->sockets[0], [this, link](error_code error) {
    if (!error)
      accepted(link);
    accept();
  });
}

void
PeerRelay::accepted(const LinkPtr& link)
{
  m_links.push_back(link);
  const Daemon::Settings& settings = m_target.settings();
  const tcp::endpoint target(
    boost::asio::ip::make_address(settings.peerListenHost), settings.peerPort);
  link->sockets[1].async_connect(target, [this, link](error_code error) {
    if (error) {
      end(*link);
      return;
    }
    for (Socket& socket : link->sockets)
      socket.set_option(tcp::no_delay(true));
    read(link, 0);
    read(link, 1);
  });
}

/// The first message that a daemon sends names it.
void
PeerRelay::identify(Link& link, const std::string& bytes) const
{
  if (!link.dialler.empty())
    return;
  link.beginning += bytes;
  const std::string message = firstMessage(link.beginning);
  for (const auto& daemon : m_deployment.daemons()) {
    if (message.find(daemon->settings().name) != std::string::npos)
      link.dialler = daemon->settings().name;
  }
  if (!link.dialler.empty())
    link.beginning.clear();
}

void
PeerRelay::read(const LinkPtr& link, std::size_t direction)
{
  Pipe& pipe = link->pipes[direction];
  link->sockets[direction].async_read_some(
    boost::asio::buffer(pipe.buffer),
    [this, link, direction](error_code error, std::size_t bytes) {
      Pipe& from = link->pipes[direction];
      if (link->isOver)
        return;
      if (error) {
        from.hasEnded = true;
        return;
      }
      from.held.emplace_back(from.buffer.data(), bytes);
      if (direction == 0)
        identify(*link, from.held.back());
      pass(link, direction);
      read(link, direction);
    });
}

void
PeerRelay::pass(const LinkPtr& link, std::size_t direction)
{
  Pipe& pipe = link->pipes[direction];
  if (pipe.isWriting || pipe.held.empty() || link->isOver ||
      m_isCut(link->dialler))
    return;
  pipe.isWriting = true;
  boost::asio::async_write(link->sockets[1 - direction],
                           boost::asio::buffer(pipe.held.front()),
                           [this, link, direction](error_code error, std::size_t) {
                             Pipe& from = link->pipes[direction];
                             from.isWriting = false;
                             from.held.pop_front();
                             if (error)
                               end(*link);
                             else
                               pass(link, direction);
                           });
}

void
PeerRelay::tick()
{
  for (const LinkPtr& link : m_links) {
    if (m_isCut(link->dialler))
      continue;
    for (std::size_t direction : { 0, 1 }) {
      pass(link, direction);
      const Pipe& pipe = link->pipes[direction];
      if (pipe.hasEnded && pipe.held.empty())
        end(*link);
    }
  }
  m_links.erase(std::remove_if(m_links.begin(),
                               m_links.end(),
                               [](const auto& link) { return link->isOver; }),
                m_links.end());
}

void
PeerRelay::end(Link& link)
{
  link.isOver = true;
  error_code ignored;
  for (Socket& socket : link.sockets)
    socket.close(ignored);
}

} // namespace review
