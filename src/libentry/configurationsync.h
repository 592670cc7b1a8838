#pragma once

#include "configurationfetch.h"
#include "configurationsource.h"
#include "routingtable.h"

#include "libcore/core.h"

#include <functional>
#include <memory>
#include <string>

namespace cowslippin {

/// The configuration in force, and its way here: from the platform, or part by
/// part from other daemons, which get it from here in the same way.
class ConfigurationSync
{
public:
  struct Settings
  {
    ConfigurationFetch::Settings fetch;
    ConfigurationSource::Settings source;
  };

  /// None may be empty.
  struct Hooks
  {
    /// Reads a configuration as the platform has it.
    std::function<Result<RoutingTable>(const std::string&)> read;
    /// Whether the platform's answer with one is on its way.
    std::function<bool()> isArriving;
    /// False if there is no connection.
    std::function<bool(const VmId&, const PeerMessage&)> send;
    /// A newer one is in force.
    std::function<void()> changed;
  };

  ConfigurationSync(Settings settings, Hooks hooks);

  std::shared_ptr<const RoutingTable> routing() const { return m_routing; }
  /// 0 if there is none yet.
  std::uint64_t version() const { return m_routing->version(); }
  /// The highest version that this daemon or another has told of.
  std::uint64_t newestVersion() const { return m_fetch.newest(); }

  /// The platform has a configuration; one that isn't newer is ignored.
  void platformRead(const std::string& body, TimePoint now);

  /// A daemon has told which version is in force there.
  void told(const VmId& vm, const ZoneName& zone, std::uint64_t version);
  /// A daemon can't be reached any more.
  void lost(const VmId& vm);
  /// Messages about other things are ignored.
  void received(const VmId& vm, const PeerMessage& message, TimePoint now);

  /// Lets time pass; to be called every 20 ms or so.
  void tick(TimePoint now);

private:
  bool apply(const std::string& body, const std::string& source);
  void partReceived(const VmId& vm, const PeerConfigPart& part, TimePoint now);

  const Hooks m_hooks;
  ConfigurationFetch m_fetch;
  ConfigurationSource m_source;
  std::shared_ptr<const RoutingTable> m_routing;
};

} // namespace cowslippin
