#pragma once

#include "asynchttpconnection.h"

#include <memory>
#include <vector>

namespace cowslippin {

/// The connections to one server, each with one call at a time. When the pool
/// is destroyed, the callbacks of calls in progress are dropped, so that they
/// may refer to the pool's owner.
class AsyncHttpConnectionPool
{
public:
  /// `maxConnections` is also the most calls in progress at a time.
  AsyncHttpConnectionPool(boost::asio::io_context& context,
                          Address address,
                          std::size_t maxConnections);
  ~AsyncHttpConnectionPool();
  AsyncHttpConnectionPool(const AsyncHttpConnectionPool&) = delete;
  AsyncHttpConnectionPool& operator=(const AsyncHttpConnectionPool&) = delete;

  /// Sends a call over the most recently used idle connection, or over a new
  /// one. `done` is called once, never from within `call`; with `NotSent` if
  /// `maxConnections` calls are in progress.
  void call(const HttpCallRequest& order,
            TimePoint deadline,
            AsyncHttpConnection::Done done);
  /// The same for a request that is encoded already.
  void send(EncodedHttpCall order,
            TimePoint deadline,
            AsyncHttpConnection::Done done);

  /// Ends calls whose deadline has passed and removes closed connections. The
  /// owner calls it at short intervals.
  void expire(TimePoint now);

  /// Ends all calls in progress and closes the connections.
  void endCalls();

  /// Whether a part of a response to any call in progress has been received.
  bool isReceiving() const;

  std::size_t size() const { return m_connections.size(); }

private:
  AsyncHttpConnection* idleConnection();
  void failUnsent(AsyncHttpConnection::Done done);

  boost::asio::io_context& m_context;
  const Address m_address;
  const std::size_t m_maxConnections;
  std::vector<std::shared_ptr<AsyncHttpConnection>> m_connections;
  /// Tells callbacks of calls without a connection whether the pool exists.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowslippin
