#include "loopbackproxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace cowslippin::testing {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Time that a target has to close its side after its caller has gone.
constexpr Duration targetCloseTime = std::chrono::seconds(3);

tcp::endpoint
endpointOf(const Address& address)
{
  return { boost::asio::ip::make_address(address.host()), address.port() };
}

} // namespace

LoopbackProxy::LoopbackProxy(boost::asio::io_context& context,
                             const Address& listen,
                             const Address& target)
  : m_context(context)
  , m_listen(endpointOf(listen))
  , m_target(endpointOf(target))
  , m_acceptor(context)
{
  open();
}

void
LoopbackProxy::open()
{
  m_acceptor.open(m_listen.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(m_listen);
  m_acceptor.listen();
  m_listen = m_acceptor.local_endpoint();
  accept();
}

LoopbackProxy::~LoopbackProxy()
{
  reset();
  endRemnants(TimePoint::max());
}

Address
LoopbackProxy::address() const
{
  const tcp::endpoint endpoint = m_acceptor.local_endpoint();
  return { endpoint.address().to_string(), endpoint.port() };
}

void
LoopbackProxy::setFaults(Fault towards, Fault back)
{
  m_faults = { towards, back };
  m_faultsSince = steadyNow();
}

void
LoopbackProxy::cut(Cut cut)
{
  m_cut = std::move(cut);
  for (const LinkPtr& link : m_links)
    link->isCut = isCut(*link);
}

void
LoopbackProxy::endCut()
{
  cut({});
}

bool
LoopbackProxy::isCut(const Link& link) const
{
  return m_cut.isCut && m_cut.isCut(link.source);
}

bool
LoopbackProxy::losesEnd(const Link& link, std::size_t direction) const
{
  return direction == 0 && link.isCut && m_cut.losesEnds;
}

void
LoopbackProxy::setRefusing(bool isRefusing)
{
  m_isRefusing = isRefusing;
  if (isRefusing)
    reset();
}

void
LoopbackProxy::reset()
{
  for (const LinkPtr& link : std::exchange(m_links, {}))
    abort(*link);
}

void
LoopbackProxy::resetCallers(Duration targetLater)
{
  const TimePoint endAt = steadyNow() + targetLater;
  for (const LinkPtr& link : std::exchange(m_links, {})) {
    link->isOver = true;
    abort(link->sockets[0]);
    m_remnants.push_back({ endAt, link });
  }
}

void
LoopbackProxy::resetSome(const std::function<bool()>& isReset, bool delivers)
{
  const auto links = m_links;
  for (const LinkPtr& link : links) {
    if (link->isCallerGone || !isReset())
      continue;
    if (!delivers) {
      abort(*link);
      continue;
    }
    link->isCallerGone = true;
    abort(link->sockets[0]);
    m_remnants.push_back({ steadyNow() + targetCloseTime, link });
  }
}

void
LoopbackProxy::setOwnDelays(std::function<Duration()> draw)
{
  m_drawDelay = std::move(draw);
  for (const LinkPtr& link : m_links)
    link->ownDelay = m_drawDelay ? m_drawDelay() : Duration::zero();
}

void
LoopbackProxy::setClosed(bool isClosed)
{
  if (isClosed == !m_acceptor.is_open())
    return;
  if (isClosed)
    m_acceptor.close();
  else
    open();
}

void
LoopbackProxy::tick(TimePoint now)
{
  endRemnants(now);
  const auto links = m_links;
  for (const LinkPtr& link : links) {
    for (const std::size_t direction : { 0, 1 })
      pass(link, direction, now);
  }
  m_links.erase(std::remove_if(m_links.begin(),
                               m_links.end(),
                               [](const LinkPtr& link) {
                                 return link->isOver ||
                                        (link->pipes[0].hasEnded &&
                                         link->pipes[1].hasEnded);
                               }),
                m_links.end());
}

void
LoopbackProxy::accept()
{
  const auto link = std::make_shared<Link>(m_context);
  m_acceptor.async_accept(link->sockets[0], [this, link](error_code error) {
    if (error == boost::asio::error::operation_aborted)
      return;
    if (!error)
      accepted(link);
    accept();
  });
}

/// A target that refuses is told to the caller as a reset.
void
LoopbackProxy::accepted(const LinkPtr& link)
{
  if (m_isRefusing) {
    abort(*link);
    return;
  }
  error_code error; // The caller may be gone.
  const auto source = link->sockets[0].remote_endpoint(error);
  if (!error)
    link->source = source.address().to_string();
  link->isCut = isCut(*link);
  if (m_drawDelay)
    link->ownDelay = m_drawDelay();
  m_links.push_back(link);
  link->sockets[1].async_connect(m_target, [this, link](error_code error) {
    if (error || link->isOver || link->isCallerGone) {
      abort(*link);
      return;
    }
    for (const std::size_t direction : { 0, 1 }) {
      link->sockets[direction].set_option(tcp::no_delay(true));
      read(link, direction);
    }
  });
}

void
LoopbackProxy::read(const LinkPtr& link, std::size_t direction)
{
  Pipe& pipe = link->pipes[direction];
  link->sockets[direction].async_read_some(
    boost::asio::buffer(pipe.buffer),
    [this, link, direction](error_code error, std::size_t count) {
      if (link->isOver || (error && losesEnd(*link, direction)))
        return;
      const bool isOwnEnd = direction == 0 && link->isCallerGone;
      if (error && error != boost::asio::error::eof && !isOwnEnd) {
        holdReset(link, direction);
        return;
      }
      Pipe& read = link->pipes[direction];
      const TimePoint now = steadyNow();
      read.held.push_back({ now,
                            now + delayOf(*link, direction, now),
                            std::string(read.buffer.data(), count) });
      pass(link, direction, now);
      if (!error)
        this->read(link, direction);
    });
}

void
LoopbackProxy::holdReset(const LinkPtr& link, std::size_t direction)
{
  const TimePoint now = steadyNow();
  Chunk reset;
  reset.dueAt = now + delayOf(*link, direction, now);
  reset.isReset = true;
  link->pipes[direction].held.push_back(reset);
  pass(link, direction, now);
}

Duration
LoopbackProxy::delayOf(const Link& link,
                       std::size_t direction,
                       TimePoint now) const
{
  const Fault& fault = m_faults[direction];
  const Duration passed = now - m_faultsSince;
  const Duration nearEnd = std::min(passed, fault.rampTime - passed);
  if (nearEnd <= Duration::zero())
    return fault.delay + link.ownDelay;
  return fault.delay + link.ownDelay +
         fault.peakDelay * (2 * nearEnd.count()) / fault.rampTime.count();
}

void
LoopbackProxy::pass(const LinkPtr& link, std::size_t direction, TimePoint now)
{
  Pipe& pipe = link->pipes[direction];
  if (link->isOver || pipe.isWriting || pipe.held.empty() || link->isCut ||
      m_faults[direction].isSilent || pipe.held.front().dueAt > now)
    return;
  if (pipe.held.front().isReset) {
    abort(*link);
    return;
  }
  if (direction == 1 && link->isCallerGone) {
    pipe.hasEnded = pipe.held.front().bytes.empty();
    pipe.held.pop_front();
    return;
  }
  Socket& to = link->sockets[1 - direction];
  if (pipe.held.front().bytes.empty()) {
    error_code ignored; // The other side may have closed before.
    to.shutdown(tcp::socket::shutdown_send, ignored);
    pipe.held.pop_front();
    pipe.hasEnded = true;
    return;
  }
  if (direction == 0 && m_observer)
    m_observer(
      link->source, pipe.held.front().bytes, now - pipe.held.front().readAt);
  pipe.isWriting = true;
  boost::asio::async_write(
    to,
    boost::asio::buffer(pipe.held.front().bytes),
    [this, link, direction](error_code error, std::size_t) {
      Pipe& written = link->pipes[direction];
      written.isWriting = false;
      if (link->isOver)
        return;
      if (error) {
        // The sender learns it as late as anything else from that end.
        written.held.clear();
        holdReset(link, 1 - direction);
        return;
      }
      written.held.pop_front();
      pass(link, direction, steadyNow());
    });
}

void
LoopbackProxy::endRemnants(TimePoint now)
{
  const auto isDue = [now](const Remnant& remnant) {
    if (remnant.endAt > now)
      return false;
    abort(*remnant.link);
    return true;
  };
  m_remnants.erase(std::remove_if(m_remnants.begin(), m_remnants.end(), isDue),
                   m_remnants.end());
}

void
LoopbackProxy::abort(Link& link)
{
  link.isOver = true;
  for (Socket& socket : link.sockets)
    abort(socket);
}

void
LoopbackProxy::abort(Socket& socket)
{
  error_code ignored; // It may never have been open.
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

} // namespace cowslippin::testing
