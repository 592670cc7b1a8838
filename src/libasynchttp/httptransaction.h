#pragma once

#include "libhttp/httpreply.h"

#include "libcore/clock.h"

#include <functional>

namespace cowslippin {

/// A received request and its reply. The reply may be sent at any later time,
/// once, on the thread of the I/O context.
class HttpTransaction
{
public:
  virtual ~HttpTransaction() = default;

  /// Sends the reply. Does nothing if the client has disconnected or a reply
  /// was sent. A reply with the header field `Connection: close` closes the
  /// connection.
  virtual void answer(const HttpReply& reply) = 0;

  /// Upper bound on the time between the sending and the reading of the
  /// request: how long the connection had been open without a request, or idle
  /// since the reply before. A middle box may hide a longer time.
  virtual Duration maxRequestAge() const = 0;

  /// Sets the function to be called if the client disconnects before the reply
  /// is sent.
  virtual void onClientDisconnected(std::function<void()> callback) = 0;
};

} // namespace cowslippin
