#pragma once

#include "configservice.h"
#include "libprotocol/protocol.h"

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cowslippin {

/// Gets a newer configuration from a peer when the stream does not bring it:
/// the platform cannot be reached, or the records were dropped. A peer that is
/// ahead is asked only if its next message still finds this daemon behind, so
/// that an ordinary change costs no transfer. One peer is asked at a time: the
/// whole of a configuration from each would fill this machine's link, and none
/// would arrive. Thread-safe.
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
  /// Whether a peer may be asked now. If so, it counts as asked.
  bool mayAsk(const VmId& vm, Offset offset);
  void answered();

  ConfigService& m_config;
  const Send m_send;
  const Clock m_clock;
  std::mutex m_mutex;
  /// When a peer was asked whose configuration has not come yet.
  std::optional<TimePoint> m_askedAt;
  /// What each peer had at its last message.
  std::unordered_map<VmId, Offset> m_lastOffsets;
};

} // namespace cowslippin
