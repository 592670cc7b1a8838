#pragma once

#include "appendresult.h"
#include "logpage.h"
#include "platformconnection.h"

namespace cowslippin {

/// Appends to and reads the streams of the platform's log, over one
/// kept-alive connection. For use by one thread; only `cancel` may come from
/// any.
///
/// A record whose append ended as `AppendUnknown` may be in the stream, even
/// twice (see PlatformConnection): records must be idempotent.
class LogClient
{
public:
  explicit LogClient(Address platform, ClientIdentity identity = {});

  /// Appends one record, which must be UTF-8 text. `NotAppended` is returned
  /// only if no byte can have been sent or the platform itself refused (4xx
  /// or 503); whatever else goes wrong is `AppendUnknown`.
  AppendResult append(const StreamName& stream,
                      const std::string& body,
                      Duration timeout);

  /// Reads at most `limit` records from offset `from` on. The platform waits
  /// up to `wait` for a record to come; the answer is awaited for `timeout`
  /// beyond that.
  Result<LogPage> read(const StreamName& stream,
                       Offset from,
                       std::size_t limit,
                       Duration wait,
                       Duration timeout);

  /// Ends the call in flight and lets every later one fail at once.
  void cancel();

private:
  PlatformConnection m_connection;
};

} // namespace cowslippin
