#pragma once

#include "libpeers/peermessage.h"

#include "libcore/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cowslippin {

/// Sends the configuration in force, part by part, to daemons that ask for it.
///
/// It answers the moment in which one daemon has a configuration and all others
/// ask for it. Each part delays the heartbeats that go over this machine's
/// link, so only a few receivers are served at a time: with two, each of 41
/// daemons has 0.9 MB over links of 25 Mbit/s after some 3 s, since those that
/// have it serve others. One would do, if it could not vanish in the middle.
class ConfigurationSource
{
public:
  struct Settings
  {
    /// The least and the most that is sent at a time, whatever is asked for.
    std::uint64_t minPartBytes = std::uint64_t(1) << 10;
    std::uint64_t maxPartBytes = std::uint64_t(64) << 10;
    std::size_t maxReceivers = 2;
    /// A receiver that asks for nothing for so long makes room for another.
    Duration idleLimit = std::chrono::milliseconds(600);
  };

  explicit ConfigurationSource(Settings settings);

  void setInForce(std::uint64_t version, std::string body);

  /// The answer to a request: a part, or that there is no room now.
  PeerMessage answer(const VmId& vm,
                     const PeerConfigRequest& request,
                     TimePoint now);
  /// A daemon can't be reached any more.
  void lost(const VmId& vm);

private:
  struct Version
  {
    std::uint64_t number = 0;
    std::shared_ptr<const std::string> body;
  };
  struct Receiver
  {
    /// What was in force when the sending began. It goes on to its end: where
    /// configurations follow each other faster than one can be sent, none would
    /// ever arrive otherwise.
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
