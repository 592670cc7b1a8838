#pragma once

#include "configurationfetch.h"
#include "configurationsource.h"
#include "routingtable.h"

#include "libcore/core.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowslippin {

/// Keeps the configuration in force up to date: from the platform, or part by
/// part from peers. Serves it to peers in the same way.
class ConfigurationSync
{
public:
  struct Settings
  {
    ConfigurationFetch::Settings fetch;
    ConfigurationSource::Settings source;
  };

  /// Functions of the daemon. None may be empty.
  struct Hooks
  {
    /// Parses a configuration in the platform's format.
    std::function<Result<RoutingTable>(const std::string&)> read;
    /// Whether a response of the platform with a configuration is being
    /// received.
    std::function<bool()> isArriving;
    /// Returns false if there is no connection.
    std::function<bool(const VmId&, const PeerMessage&)> send;
    /// Called after a newer configuration has come into force.
    std::function<void()> changed;
  };

  ConfigurationSync(Settings settings, Hooks hooks);

  std::shared_ptr<const RoutingTable> routing() const { return m_routing; }
  /// 0 if there is none yet.
  std::uint64_t version() const { return m_routing->version(); }
  /// The highest version that is in force here or advertised by a peer.
  std::uint64_t newestVersion() const { return m_fetch.newestVersion(); }

  /// Why the configuration that was last read from the platform can't be
  /// decoded. Nothing if it can.
  const std::optional<Problem>& refusal() const { return m_refusal; }

  /// A configuration was read from the platform. One that isn't newer is
  /// ignored.
  void platformRead(const std::string& body, TimePoint now);

  /// A peer advertises the version that is in force there.
  void versionAdvertised(const VmId& vm,
                         const ZoneName& zone,
                         std::uint64_t version);
  /// A peer can no longer be reached.
  void peerLost(const VmId& vm);
  /// Handles messages about configurations; ignores all others.
  void received(const VmId& vm, const PeerMessage& message, TimePoint now);

  /// Sends a request to a peer if one is due. To be called about every 20 ms.
  void tick(TimePoint now);

private:
  Result<RoutingTable> read(const std::string& body,
                            const std::string& source) const;
  bool apply(const RoutingTable& table,
             const std::string& body,
             const std::string& source);
  void partReceived(const VmId& vm, const PeerConfigPart& part, TimePoint now);

  const Hooks m_hooks;
  ConfigurationFetch m_fetch;
  ConfigurationSource m_source;
  std::shared_ptr<const RoutingTable> m_routing;
  std::optional<Problem> m_refusal;
};

} // namespace cowslippin
