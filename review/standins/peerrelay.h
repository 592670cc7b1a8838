#pragma once

#include "standins.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// Relays the connections that daemons open to one daemon. While a connection
/// is cut, nothing passes in either direction: bytes are held back, and neither
/// side learns that the other one has closed it. It is known by the first
/// message which daemon has opened a connection.
class PeerRelay
{
public:
  /// Whether the connections of the daemon of this name are cut now. The name
  /// is empty for a connection whose daemon isn't known yet.
  using IsCut = std::function<bool(const std::string& dialler)>;

  /// Listens where the other daemons connect to `target`.
  PeerRelay(Deployment& deployment, Daemon& target, IsCut isCut);

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Pipe
  {
    std::array<char, 16384> buffer{};
    std::deque<std::string> held;
    bool isWriting = false;
    bool hasEnded = false;
  };
  struct Link
  {
    explicit Link(boost::asio::io_context& context)
      : sockets{ Socket(context), Socket(context) }
    {
    }

    std::string dialler;
    /// What the dialler has sent until it is known.
    std::string beginning;
    /// The dialler's, then the target's.
    std::array<Socket, 2> sockets;
    /// Towards the target, then back.
    std::array<Pipe, 2> pipes;
    bool isOver = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void accept();
  void accepted(const LinkPtr& link);
  void read(const LinkPtr& link, std::size_t direction);
  void pass(const LinkPtr& link, std::size_t direction);
  void identify(Link& link, const std::string& bytes) const;
  void tick();
  static void end(Link& link);

  Deployment& m_deployment;
  Daemon& m_target;
  const IsCut m_isCut;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::vector<LinkPtr> m_links;
};

} // namespace review
