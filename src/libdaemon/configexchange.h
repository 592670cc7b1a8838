#pragma once

#include "configservice.h"
#include "libprotocol/protocol.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace cowslippin {

/// Gets a newer configuration from a peer when the stream does not bring it:
/// the platform cannot be reached, or the records were dropped. A peer that is
/// ahead is asked only if its next message still finds this daemon behind, so
/// that an ordinary change costs no transfer. Thread-safe.
class ConfigExchange
{
public:
  using Send = std::function<bool(const VmId&, const Message&)>;

  ConfigExchange(ConfigService& config, Send send, Clock clock = steadyNow);

  /// The peer said which offset it has in force.
  void peerHas(const VmId& vm, Offset offset);

  /// A peer asks for the configuration in force here.
  void requested(const VmId& vm, const ConfigRequest& request);

  /// A peer sent its configuration.
  void transferred(const ConfigTransfer& transfer);

private:
  ConfigService& m_config;
  const Send m_send;
  const Clock m_clock;
  std::mutex m_mutex;
  /// What each peer had at its last message.
  std::unordered_map<VmId, Offset> m_lastOffsets;
};

} // namespace cowslippin
