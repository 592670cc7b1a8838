#include "connectionpool.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

ConnectionPool::ConnectionPool(boost::asio::io_context& context,
                               Duration maxIdleAge)
  : m_context(context)
  , m_maxIdleAge(maxIdleAge)
{
}

std::shared_ptr<Connection>
ConnectionPool::acquire(const Address& address, int limit)
{
  while (auto connection = takeIdle(address)) {
    if (isFresh(*connection) && connection->isUsable()) {
      return connection;
    }
    discard(*connection);
  }
  return addNew(address, limit);
}

std::shared_ptr<Connection>
ConnectionPool::acquireNew(const Address& address, int limit)
{
  if (auto connection = addNew(address, limit)) {
    return connection;
  }
  const auto idle = takeIdle(address);
  if (!idle) {
    return nullptr;
  }
  discard(*idle);
  return addNew(address, limit);
}

void
ConnectionPool::release(std::shared_ptr<Connection> connection)
{
  connection->setIdleSince(steadyNow());
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_entries[connection->address()].idle.push_back(std::move(connection));
}

void
ConnectionPool::discard(Connection& connection)
{
  connection.close();
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(connection.address());
  if (--entry->second.open == 0) {
    m_entries.erase(entry);
  }
}

void
ConnectionPool::closeOld()
{
  std::vector<std::shared_ptr<Connection>> old;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [address, entry] : m_entries) {
      auto& idle = entry.idle;
      const auto firstFresh =
        std::find_if(idle.begin(), idle.end(), [this](const auto& connection) {
          return isFresh(*connection);
        });
      old.insert(old.end(), idle.begin(), firstFresh);
      idle.erase(idle.begin(), firstFresh);
    }
  }
  for (const auto& connection : old) {
    discard(*connection);
  }
}

std::shared_ptr<Connection>
ConnectionPool::takeIdle(const Address& address)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(address);
  if (entry == m_entries.end() || entry->second.idle.empty()) {
    return nullptr;
  }
  auto connection = std::move(entry->second.idle.back());
  entry->second.idle.pop_back();
  return connection;
}

std::shared_ptr<Connection>
ConnectionPool::addNew(const Address& address, int limit)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (limit < 1) {
      return nullptr;
    }
    Entry& entry = m_entries[address];
    if (entry.open >= limit) {
      return nullptr;
    }
    ++entry.open;
  }
  return std::make_shared<Connection>(m_context, address);
}

bool
ConnectionPool::isFresh(const Connection& connection) const
{
  return steadyNow() - connection.idleSince() <= m_maxIdleAge;
}

} // namespace cowslippin
