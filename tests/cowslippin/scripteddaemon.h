#pragma once

#include "libcore/core.h"

#include <boost/asio.hpp>

#include <string>
#include <thread>
#include <vector>

namespace cowslippin {

/// A server on loopback that answers every request with the same bytes and
/// then closes the connection. Connections without a request do not count.
class ScriptedDaemon
{
public:
  /// With `holds` set it keeps connections open and never answers.
  explicit ScriptedDaemon(std::string reply, bool holds = false);
  ~ScriptedDaemon();
  ScriptedDaemon(const ScriptedDaemon&) = delete;
  ScriptedDaemon& operator=(const ScriptedDaemon&) = delete;

  Address address() const;

  /// Ends the server and returns the requests it was sent.
  std::vector<std::string> finish();

private:
  void serve();
  void answer(boost::asio::ip::tcp::socket socket);

  const std::string m_reply;
  const bool m_holds;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::vector<boost::asio::ip::tcp::socket> m_held;
  std::vector<std::string> m_requests;
  std::thread m_thread;
};

} // namespace cowslippin
