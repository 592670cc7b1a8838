#include "asynchttpconnectionpool.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

AsyncHttpConnectionPool::AsyncHttpConnectionPool(
  boost::asio::io_context& context,
  Address address,
  std::size_t maxConnections)
  : m_context(context)
  , m_address(std::move(address))
  , m_maxConnections(maxConnections)
{
}

AsyncHttpConnectionPool::~AsyncHttpConnectionPool()
{
  for (const auto& connection : m_connections)
    connection->abandon();
}

void
AsyncHttpConnectionPool::call(const HttpCallRequest& order,
                              TimePoint deadline,
                              AsyncHttpConnection::Done done)
{
  if (AsyncHttpConnection* connection = idleConnection())
    connection->call(order, deadline, std::move(done));
  else
    failUnsent(std::move(done));
}

void
AsyncHttpConnectionPool::send(EncodedHttpCall order,
                              TimePoint deadline,
                              AsyncHttpConnection::Done done)
{
  if (AsyncHttpConnection* connection = idleConnection())
    connection->send(std::move(order), deadline, std::move(done));
  else
    failUnsent(std::move(done));
}

/// The most recently used idle connection, or a new one; null if all that are
/// allowed are in use. A new one takes the place of one that was closed and not
/// yet removed: after a reset of all connections calls would otherwise fail
/// unsent until the closed ones are removed. It isn't opened again, as a write
/// that its call has begun may go on.
AsyncHttpConnection*
AsyncHttpConnectionPool::idleConnection()
{
  AsyncHttpConnection* best = nullptr;
  std::shared_ptr<AsyncHttpConnection>* closed = nullptr;
  for (auto& connection : m_connections) {
    if (connection->isBusy())
      continue;
    if (!connection->isOpen())
      closed = &connection;
    else if (!best || connection->idleSince() > best->idleSince())
      best = connection.get();
  }
  if (best || (!closed && m_connections.size() >= m_maxConnections))
    return best;
  auto added = std::make_shared<AsyncHttpConnection>(m_context, m_address);
  if (!closed)
    return m_connections.emplace_back(std::move(added)).get();
  *closed = std::move(added);
  return closed->get();
}

void
AsyncHttpConnectionPool::failUnsent(AsyncHttpConnection::Done done)
{
  boost::asio::post(m_context,
                    [alive = std::weak_ptr(m_alive), done = std::move(done)] {
                      if (!alive.expired())
                        done({ HttpCallResult::Kind::NotSent, 0, {} });
                    });
}

void
AsyncHttpConnectionPool::endCalls()
{
  // The callback of an ended call may start another call.
  for (const auto& connection : std::exchange(m_connections, {}))
    connection->endNow();
}

void
AsyncHttpConnectionPool::expire(TimePoint now)
{
  // The callback of an ended call may start another call, which adds a
  // connection.
  const std::size_t count = m_connections.size();
  for (std::size_t i = 0; i < count; ++i) {
    if (!m_connections[i]->isBusy())
      continue;
    const auto connection = m_connections[i];
    connection->expire(now);
  }
  const auto isClosed = [](const auto& connection) {
    return !connection->isBusy() && !connection->isOpen();
  };
  m_connections.erase(
    std::remove_if(m_connections.begin(), m_connections.end(), isClosed),
    m_connections.end());
}

bool
AsyncHttpConnectionPool::isReceiving() const
{
  return std::any_of(
    m_connections.begin(), m_connections.end(), [](const auto& connection) {
      return connection->isReceiving();
    });
}

} // namespace cowslippin
