#include "minionrelay.h"

#include <boost/asio/write.hpp>

namespace review {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint
endpointOf(const Address& address)
{
  return { boost::asio::ip::make_address(address.host()), address.port() };
}

} // namespace

MinionRelay::MinionRelay(Deployment& deployment,
                         Record& record,
                         Worker& minion,
                         Delays delays,
                         Duration delay)
  : m_deployment(deployment)
  , m_record(record)
  , m_minion(minion)
  , m_delays(std::move(delays))
  , m_delay(delay)
  , m_acceptor(deployment.context(), endpointOf(minion.listedAddress()))
{
  accept();
  deployment.addTick([this](TimePoint now) { deliver(now); });
}

void
MinionRelay::accept()
{
  const auto link = std::make_shared<Link>(m_deployment.context());
  m_acceptor.async_accept(link->sockets[0], [this, link](error_code error) {
    if (!error)
      link->sockets[1].async_connect(
        endpointOf(m_minion.address()), [this, link](error_code failed) {
          if (failed) {
            end(*link);
            return;
          }
          for (Socket& socket : link->sockets)
            socket.set_option(tcp::no_delay(true), failed);
          read(link, 0);
          read(link, 1);
        });
    accept();
  });
}

void
MinionRelay::read(const LinkPtr& link, std::size_t direction)
{
  link->sockets[direction].async_read_some(
    boost::asio::buffer(link->buffers[direction]),
    [this, link, direction](error_code error, std::size_t count) {
      if (link->isDelayed)
        return;
      if (error) {
        end(*link);
        return;
      }
      const std::string bytes(link->buffers[direction].data(), count);
      if (direction == 0 && mustDelay(bytes)) {
        link->isDelayed = true;
        return;
      }
      boost::asio::write(
        link->sockets[1 - direction], boost::asio::buffer(bytes), error);
      if (error)
        end(*link);
      else
        read(link, direction);
    });
}

bool
MinionRelay::mustDelay(const std::string& bytes)
{
  const std::size_t body = bytes.find("\r\n\r\n");
  if (bytes.rfind("POST /v1/run-start", 0) != 0 || body == std::string::npos ||
      !m_delays(m_minion, nlohmann::json::parse(bytes.substr(body + 4))))
    return false;
  m_call = DelayedCall{ bytes, steadyNow() + m_delay };
  m_record.note("the network delays to " + m_minion.id() + ": " +
                bytes.substr(body + 4));
  return true;
}

void
MinionRelay::deliver(TimePoint now)
{
  if (!m_call || now < m_call->dueAt)
    return;
  Socket socket(m_deployment.context());
  error_code error;
  socket.connect(endpointOf(m_minion.address()), error);
  if (error)
    return;
  boost::asio::write(socket, boost::asio::buffer(m_call->bytes), error);
  m_record.note("the network delivers the delayed call to " + m_minion.id());
  m_delivery = std::move(socket);
  m_call.reset();
}

void
MinionRelay::end(Link& link)
{
  error_code ignored;
  for (Socket& socket : link.sockets)
    socket.close(ignored);
}

} // namespace review
