#pragma once

#include "libcore/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace cowslippin::testing {

/// A TCP relay on loopback that can lose track of its connections as a
/// middlebox does: they stay open at both ends and carry nothing any more.
class Relay
{
public:
  explicit Relay(const Address& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  Address address() const;

  /// The connections there are now carry nothing any more.
  void silenceOpenConnections();

  /// Neither do any that are accepted from now on.
  void silenceNewConnections();

  /// What is accepted from now on is carried again.
  void carryNewConnections();

private:
  using Socket = boost::asio::ip::tcp::socket;
  using SocketPtr = std::shared_ptr<Socket>;

  void accept();
  void forward(const SocketPtr& from, const SocketPtr& to, int generation);

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::endpoint m_target;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<int> m_generation{ 0 };
  std::atomic<bool> m_silencesNew{ false };
  std::thread m_thread;
};

} // namespace cowslippin::testing
