#pragma once

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace cowslippin {

/// Waits for things of other threads; gives up only on a test that hangs.
class Gate
{
public:
  void open();
  /// False when the test hangs.
  bool wait();

private:
  std::mutex m_mutex;
  std::condition_variable m_opened;
  bool m_isOpen = false;
};

/// One connection that a `RawServer` accepted.
class RawConnection
{
public:
  explicit RawConnection(boost::asio::ip::tcp::socket socket);

  /// A whole request, header and body; empty when the client has closed.
  std::string readRequest();
  void write(const std::string& bytes);
  void close();
  /// Reads until the client closes.
  void waitForClose();
  /// Unblocks a thread that reads.
  void shutDown();

private:
  boost::asio::ip::tcp::socket m_socket;
  std::string m_read;
};

/// A TCP server that treats each connection as its script says, a thread each.
/// Health checks are answered and counted apart.
class RawServer
{
public:
  /// Given a request that is not a health check, its number from 1, and its
  /// connection. False ends the connection.
  using Script =
    std::function<bool(RawConnection&, const std::string& request, int number)>;

  explicit RawServer(Script script);
  ~RawServer();

  Address address() const;
  int requests() const { return m_requests; }
  int healthChecks() const { return m_healthChecks; }
  int connections() const { return m_connections; }
  /// Accepts nothing more.
  void stopListening();

private:
  void accept();
  void serve(RawConnection& connection);

  Script m_script;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<int> m_requests{ 0 };
  std::atomic<int> m_healthChecks{ 0 };
  std::atomic<int> m_connections{ 0 };
  std::mutex m_mutex;
  std::list<RawConnection> m_open;
  std::list<std::thread> m_threads;
  std::thread m_acceptThread;
};

/// A whole answer of status 200.
std::string
okAnswer(const std::string& body);

/// Writes `request` to a new connection and reads until the peer closes.
std::string
talk(const Address& address, const std::string& request);

} // namespace cowslippin
