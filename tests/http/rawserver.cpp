#include "rawserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <utility>

namespace cowslippin {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr std::chrono::seconds hangLimit(20);
constexpr char headerEnd[] = "\r\n\r\n";
constexpr char lengthField[] = "Content-Length: ";

std::size_t
bodyLength(const std::string& header)
{
  const std::size_t field = header.find(lengthField);
  return field == std::string::npos
           ? 0
           : std::stoul(header.substr(field + sizeof(lengthField) - 1));
}

} // namespace

void
Gate::open()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_isOpen = true;
  m_opened.notify_all();
}

bool
Gate::wait()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_opened.wait_for(lock, hangLimit, [this] { return m_isOpen; });
}

RawConnection::RawConnection(tcp::socket socket)
  : m_socket(std::move(socket))
{
}

std::string
RawConnection::readRequest()
{
  error_code error;
  const std::size_t header =
    net::read_until(m_socket, net::dynamic_buffer(m_read), headerEnd, error);
  if (error) {
    return {};
  }
  const std::size_t size = header + bodyLength(m_read.substr(0, header));
  if (m_read.size() < size) {
    const std::size_t missing = size - m_read.size();
    net::read(m_socket,
              net::dynamic_buffer(m_read),
              net::transfer_exactly(missing),
              error);
  }
  std::string request = m_read.substr(0, size);
  m_read.erase(0, size);
  return error ? std::string() : request;
}

void
RawConnection::write(const std::string& bytes)
{
  error_code ignored;
  net::write(m_socket, net::buffer(bytes), ignored);
}

void
RawConnection::close()
{
  error_code ignored;
  m_socket.close(ignored);
}

void
RawConnection::waitForClose()
{
  error_code error;
  net::read(m_socket, net::dynamic_buffer(m_read), error);
}

void
RawConnection::shutDown()
{
  ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

RawServer::RawServer(Script script)
  : m_script(std::move(script))
  , m_acceptor(m_context, tcp::endpoint(net::ip::address_v4::loopback(), 0))
  , m_acceptThread([this] { accept(); })
{
}

RawServer::~RawServer()
{
  stopListening();
  m_acceptThread.join();
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (RawConnection& connection : m_open) {
      connection.shutDown();
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

Address
RawServer::address() const
{
  return Address("127.0.0.1", m_acceptor.local_endpoint().port());
}

void
RawServer::stopListening()
{
  ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
}

void
RawServer::accept()
{
  while (true) {
    error_code error;
    tcp::socket socket = m_acceptor.accept(error);
    if (error) {
      return;
    }
    ++m_connections;
    const std::lock_guard<std::mutex> lock(m_mutex);
    RawConnection& connection = m_open.emplace_back(std::move(socket));
    m_threads.emplace_back([this, &connection] { serve(connection); });
  }
}

void
RawServer::serve(RawConnection& connection)
{
  bool isKept = true;
  while (isKept) {
    const std::string request = connection.readRequest();
    if (request.empty()) {
      break;
    }
    if (request.rfind("GET /health ", 0) == 0) {
      ++m_healthChecks;
      connection.write(okAnswer("well"));
      continue;
    }
    isKept = m_script(connection, request, ++m_requests);
  }
  connection.shutDown();
}

std::string
okAnswer(const std::string& body)
{
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(body.size()) + headerEnd + body;
}

std::string
talk(const Address& address, const std::string& request)
{
  net::io_context context;
  tcp::socket socket(context);
  socket.connect({ net::ip::make_address(address.host()), address.port() });
  error_code ignored;
  net::write(socket, net::buffer(request), ignored);
  std::string answer;
  net::read(socket, net::dynamic_buffer(answer), ignored);
  return answer;
}

} // namespace cowslippin
