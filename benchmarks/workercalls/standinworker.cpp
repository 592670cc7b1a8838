#include "standinworker.h"

#include <boost/asio/write.hpp>

#include <array>

namespace cowslippin::benchmarks {

namespace net = boost::asio;
using boost::system::error_code;

StandInWorker::StandInWorker(const std::string& body)
  : m_response("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
               "Content-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body)
  , m_acceptor(m_context, { net::ip::make_address("127.0.0.1"), 0 })
  , m_address("127.0.0.1", m_acceptor.local_endpoint().port())
  , m_thread([this] { serve(); })
{
}

StandInWorker::~StandInWorker()
{
  m_thread.join();
}

/// A request of the benchmark fits in one segment, so that one read returns it
/// whole.
void
StandInWorker::serve()
{
  net::ip::tcp::socket socket(m_context);
  error_code error;
  m_acceptor.accept(socket, error);
  socket.set_option(net::ip::tcp::no_delay(true), error);
  std::array<char, 8192> request{};
  while (!error) {
    socket.read_some(net::buffer(request), error);
    if (!error)
      net::write(socket, net::buffer(m_response), error);
  }
}

} // namespace cowslippin::benchmarks
