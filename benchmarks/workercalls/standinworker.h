#pragma once

#include "libcore/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <thread>

namespace cowslippin::benchmarks {

/// Answers every request on one loopback connection with the same response. It
/// runs on a thread of its own, whose processor time a benchmark that counts
/// only its own thread does not include.
class StandInWorker
{
public:
  /// `body` is the body of each response, which has the status 200.
  explicit StandInWorker(const std::string& body);
  /// The client must have closed its connection.
  ~StandInWorker();
  StandInWorker(const StandInWorker&) = delete;
  StandInWorker& operator=(const StandInWorker&) = delete;

  const Address& address() const { return m_address; }

private:
  void serve();

  const std::string m_response;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Address m_address;
  std::thread m_thread;
};

} // namespace cowslippin::benchmarks
