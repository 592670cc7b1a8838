#pragma once

#include "connection.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cowslippin {

/// The connections to every endpoint, in use and idle, never more to one than
/// it allows. Safe from any thread.
class ConnectionPool
{
public:
  /// Idle connections older than `maxIdleAge` are not used again.
  ConnectionPool(boost::asio::io_context& context, Duration maxIdleAge);

  /// The connection to `address` that became idle last, else a new one that is
  /// still to be connected. Nothing when `limit` are in use.
  std::shared_ptr<Connection> acquire(const Address& address, int limit);

  /// A new connection, for which an idle one is closed if need be. Nothing
  /// when `limit` are in use.
  std::shared_ptr<Connection> acquireNew(const Address& address, int limit);

  /// Gives back a connection that can be used again.
  void release(std::shared_ptr<Connection> connection);

  /// Gives back a connection that cannot, and closes it.
  void discard(Connection& connection);

  /// Closes the connections that have been idle for too long.
  void closeOld();

private:
  struct Entry
  {
    /// In use and idle together.
    int open = 0;
    /// The one that became idle last is at the back.
    std::vector<std::shared_ptr<Connection>> idle;
  };

  std::shared_ptr<Connection> takeIdle(const Address& address);
  std::shared_ptr<Connection> addNew(const Address& address, int limit);
  bool isFresh(const Connection& connection) const;

  boost::asio::io_context& m_context;
  const Duration m_maxIdleAge;
  std::mutex m_mutex;
  std::map<Address, Entry> m_entries;
};

} // namespace cowslippin
