#include "peerrelay.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// The inode of the socket on this machine with these ends, or an empty text.
std::string
inodeOf(const tcp::endpoint& local, const tcp::endpoint& remote)
{
  const auto hex = [](const tcp::endpoint& end) {
    const auto bytes = end.address().to_v4().to_bytes();
    std::array<char, 16> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%02X%02X%02X%02X:%04X",
                  bytes[3],
                  bytes[2],
                  bytes[1],
                  bytes[0],
                  end.port());
    return std::string(text.data());
  };
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::vector<std::string> words;
    for (std::string word; fields >> word;)
      words.push_back(word);
    if (words.size() > 9 && words[1] == hex(local) && words[2] == hex(remote))
      return words[9];
  }
  return "";
}

bool
hasSocket(pid_t process, const std::string& inode)
{
  error_code ignored;
  std::error_code error;
  const std::string folder = "/proc/" + std::to_string(process) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const auto target = std::filesystem::read_symlink(entry.path(), error);
    if (!error && target == "socket:[" + inode + "]")
      return true;
  }
  return false;
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
  link->dialler = diallerOf(link->sockets[0]);
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

/// The name of the daemon whose process has the other end of this connection.
std::string
PeerRelay::diallerOf(const Socket& socket) const
{
  error_code error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  if (error)
    return "";
  const std::string inode = inodeOf(remote, socket.local_endpoint(error));
  for (const auto& daemon : m_deployment.daemons()) {
    if (daemon->isUp() && !inode.empty() && hasSocket(daemon->pid(), inode))
      return daemon->settings().name;
  }
  return "";
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
    if (link->dialler.empty())
      link->dialler = diallerOf(link->sockets[0]);
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
