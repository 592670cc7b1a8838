#pragma once

#include "clientidentity.h"

#include <memory>
#include <string>

namespace cowslippin {

/// A request to the platform.
struct PlatformRequest
{
  std::string method;
  std::string path;
  /// Without the question mark; empty for none.
  std::string query;
  std::string body;
};

/// The platform's whole answer.
struct PlatformReply
{
  int status = 0;
  std::string body;
};

/// A call that brought no whole answer.
struct PlatformCallFailure
{
  /// Whether some byte of the request may have been sent.
  bool maybeSent = true;
  Problem problem;
};

using PlatformCallResult = tl::expected<PlatformReply, PlatformCallFailure>;

/// One kept-alive HTTP connection to the platform. A failed or timed-out
/// call closes it and the next call opens a new one.
///
/// The HTTP library sends a request again by itself when a kept connection
/// turns out to be closed. This class stops it from doing so and reports the
/// call as maybe sent. Should a second copy get out nevertheless, the call
/// still fails as maybe sent, and the record is in the log twice: what is
/// appended must be idempotent, as claims and configuration records are.
///
/// `call` is for one thread at a time; `cancel` may come from any.
class PlatformConnection
{
public:
  PlatformConnection(Address platform, ClientIdentity identity);
  ~PlatformConnection();
  PlatformConnection(const PlatformConnection&) = delete;
  PlatformConnection& operator=(const PlatformConnection&) = delete;

  /// Sends `request` and waits for the whole answer, for `timeout` in all.
  PlatformCallResult call(const PlatformRequest& request, Duration timeout);

  /// Ends the call in flight and lets every later one fail at once.
  void cancel();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace cowslippin
