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
/// allowed are in use. One that was closed and not yet removed is opened again
/// rather than counted against the limit: after a reset of all connections
/// calls would otherwise fail unsent until they are removed.
AsyncHttpConnection*
AsyncHttpConnectionPool::idleConnection()
{
  AsyncHttpConnection* best = nullptr;
  AsyncHttpConnection* closed = nullptr;
  for (const auto& connection : m_connections) {
    if (connection->isBusy())
      continue;
    if (!connection->isOpen())
      closed = connection.get();
    else if (!best || connection->idleSince() > best->idleSince())
      best = connection.get();
  }
  if (best || closed)
    return best ? best : closed;
  if (m_connections.size() >= m_maxConnections)
    return nullptr;
  m_connections.push_back(
    std::make_shared<AsyncHttpConnection>(m_context, m_address));
  return m_connections.back().get();
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
