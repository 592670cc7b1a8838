#pragma once

#include "libhttp/httpreply.h"

#include <functional>

namespace cowslippin {

/// A request that waits for its answer. It may be answered later, from the
/// thread of the I/O context, once.
class HttpTransaction
{
public:
  virtual ~HttpTransaction() = default;

  /// Sends the answer; does nothing if the client is gone or was answered. A
  /// reply with the header field `Connection: close` ends the connection.
  virtual void answer(const HttpReply& reply) = 0;

  /// Called if the client closes its connection before it is answered.
  virtual void onClientGone(std::function<void()> gone) = 0;
};

} // namespace cowslippin
