#pragma once

#include "platformconnection.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cowslippin {

/// Reads the platform's list of VMs and endpoints, over one kept-alive
/// connection. For use by one thread; only `cancel` may come from any.
class VmListClient
{
public:
  explicit VmListClient(Address platform, ClientIdentity identity = {});

  /// Fetches the list as the platform shows it now, which lags behind.
  Result<VmList> fetch(Duration timeout);

  /// The same for a caller that has the list of this version. Nothing if the
  /// platform shows just that one; a platform that cannot tell sends it again.
  Result<std::optional<VmList>> fetchUnless(std::uint64_t knownVersion,
                                            Duration timeout);

  /// Ends the call in flight and lets every later one fail at once.
  void cancel();

private:
  Result<std::string> read(const std::string& query, Duration timeout);

  PlatformConnection m_connection;
};

/// Reads the platform's answer to a request for the list. A bad member is
/// named with its value and what is allowed there.
Result<VmList>
parseVmList(const std::string& body);

} // namespace cowslippin
