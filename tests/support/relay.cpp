#include "relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace cowslippin::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using Buffer = std::array<char, 16384>;

} // namespace

Relay::Relay(const Address& target)
  : m_target(asio::ip::make_address(target.host()), target.port())
  , m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
  accept();
  m_thread = std::thread([this] { m_context.run(); });
}

Relay::~Relay()
{
  m_context.stop();
  m_thread.join();
}

Address
Relay::address() const
{
  return Address("127.0.0.1", m_acceptor.local_endpoint().port());
}

void
Relay::silenceOpenConnections()
{
  ++m_generation;
}

void
Relay::silenceNewConnections()
{
  m_silencesNew = true;
}

void
Relay::carryNewConnections()
{
  m_silencesNew = false;
}

void
Relay::accept()
{
  auto near = std::make_shared<Socket>(m_context);
  m_acceptor.async_accept(*near, [this, near](const auto& error) {
    if (error)
      return;
    auto far = std::make_shared<Socket>(m_context);
    boost::system::error_code connectError;
    far->connect(m_target, connectError);
    const int silent = -1;
    const int generation = m_silencesNew ? silent : m_generation.load();
    if (!connectError) {
      forward(near, far, generation);
      forward(far, near, generation);
    }
    accept();
  });
}

void
Relay::forward(const SocketPtr& from, const SocketPtr& to, int generation)
{
  const auto buffer = std::make_shared<Buffer>();
  const auto forwarded =
    [this, from, to, generation, buffer](const boost::system::error_code& error,
                                         std::size_t size) {
      const bool isSilent = generation != m_generation;
      boost::system::error_code writeError;
      if (!isSilent && error)
        to->shutdown(Socket::shutdown_both, writeError);
      if (!isSilent && !error)
        asio::write(*to, asio::buffer(*buffer, size), writeError);
      if (!error)
        forward(from, to, generation);
    };
  from->async_read_some(asio::buffer(*buffer), forwarded);
}

} // namespace cowslippin::testing
