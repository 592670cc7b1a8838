#include "scripteddaemon.h"

#include <utility>

namespace cowslippin {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t bufferSize = 65536;

/// Sent instead of a request to end the server.
constexpr char endMark[] = "END";

} // namespace

ScriptedDaemon::ScriptedDaemon(std::string reply, bool holds)
  : m_reply(std::move(reply))
  , m_holds(holds)
  , m_acceptor(m_context,
               tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  , m_thread([this] { serve(); })
{
}

ScriptedDaemon::~ScriptedDaemon()
{
  finish();
}

Address
ScriptedDaemon::address() const
{
  return Address("127.0.0.1", m_acceptor.local_endpoint().port());
}

std::vector<std::string>
ScriptedDaemon::finish()
{
  if (m_thread.joinable()) {
    tcp::socket socket(m_context);
    socket.connect(m_acceptor.local_endpoint());
    boost::asio::write(socket, boost::asio::buffer(std::string(endMark)));
    m_thread.join();
  }
  return m_requests;
}

void
ScriptedDaemon::serve()
{
  while (m_requests.empty() || m_requests.back() != endMark) {
    answer(m_acceptor.accept());
  }
  m_requests.pop_back();
}

void
ScriptedDaemon::answer(tcp::socket socket)
{
  std::string request(bufferSize, '\0');
  boost::system::error_code error;
  request.resize(socket.read_some(boost::asio::buffer(request), error));
  if (request.empty()) {
    return;
  }
  m_requests.push_back(std::move(request));
  if (m_holds) {
    m_held.push_back(std::move(socket));
    return;
  }
  boost::asio::write(socket, boost::asio::buffer(m_reply), error);
}

} // namespace cowslippin
