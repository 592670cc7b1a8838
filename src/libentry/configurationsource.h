#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cowslippin {

/// Sends the configuration in force, part by part, to peers that request it.
///
/// When one daemon alone has a new configuration, all its peers ask for it at
/// once. Each part delays the heartbeats that share this machine's link, so
/// only a few receivers are served at a time. With two, each of 41 daemons has
/// 0.9 MB over links of 25 Mbit/s after some 3 s, because those that have it
/// serve others. One receiver would be enough if it couldn't be lost during the
/// transfer.
class ConfigurationSource
{
public:
  struct Settings
  {
    /// Minimum and maximum size of a part, whatever size was requested.
    std::uint64_t minPartBytes = std::uint64_t(1) << 10;
    std::uint64_t maxPartBytes = std::uint64_t(64) << 10;
    std::size_t maxReceivers = 2;
    /// A receiver that sends no request for this long gives up its place to
    /// another.
    Duration idleLimit = std::chrono::milliseconds(600);
  };

  explicit ConfigurationSource(Settings settings);

  void setInForce(std::uint64_t version, std::string body);

  /// Returns the answer to a request: a part, or `PeerConfigBusy` if too many
  /// receivers are being served.
  PeerMessage answer(const VmId& vm,
                     const PeerConfigRequest& request,
                     TimePoint now);
  /// A peer can no longer be reached.
  void peerLost(const VmId& vm);

private:
  struct Version
  {
    std::uint64_t number = 0;
    std::shared_ptr<const std::string> body;
  };
  struct Receiver
  {
    /// The version that was in force when the transfer began. The transfer goes
    /// on to its end, because otherwise none would ever arrive where
    /// configurations change faster than one can be sent.
    Version version;
    TimePoint askedAt{};
  };

  void forgetIdle(TimePoint now);
  PeerConfigPart makePart(const Version& version,
                          const PeerConfigRequest& request) const;

  const Settings m_settings;
  Version m_inForce;
  std::map<VmId, Receiver> m_receivers;
};

} // namespace cowslippin
