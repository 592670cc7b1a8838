#pragma once

#include "configurationfinding.h"
#include "routedifference.h"
#include "routingtable.h"

#include "libcore/core.h"

#include <cstddef>
#include <vector>

namespace cowslippin {

/// What is wrong with a configuration that is to be sent, and how it differs
/// from the one in force. The class does no I/O.
class ConfigurationCheck
{
public:
  using Findings = std::vector<ConfigurationFinding>;
  using Differences = std::vector<RouteDifference>;

  /// Checks a configuration by itself.
  explicit ConfigurationCheck(const RoutingTable& table);
  /// Also compares it with the one in force.
  ConfigurationCheck(const RoutingTable& table, const RoutingTable& inForce);
  /// The check of a configuration that can't be decoded.
  explicit ConfigurationCheck(const Problem& problem);

  /// Faults that mean that the configuration should not be sent.
  const Findings& errors() const { return m_errors; }
  const Findings& warnings() const { return m_warnings; }
  /// Routes that were added or changed, in their order in the configuration,
  /// then removed ones. Routes that can never match are not compared.
  const Differences& differences() const { return m_differences; }

private:
  void checkInvalidRoutes(const RoutingTable& table);
  void checkVersion(const RoutingTable& table, const RoutingTable& inForce);
  void checkShadowedRoutes(const RoutingTable& table);
  void checkLimits(const RoutingTable& table);
  void checkTimeout(const Route& route, std::size_t index);
  void checkAttempts(const Route& route, std::size_t index);
  void checkStretch(const Route& route, std::size_t index);
  void checkServices(const RoutingTable& table, const RoutingTable& inForce);
  void checkSharedQueues(const RoutingTable& table);
  void compareQueues(const RoutingTable& table,
                     std::size_t index,
                     std::size_t first);
  void checkUnsupported(const RoutingTable& table);
  void compareRoutes(const RoutingTable& table, const RoutingTable& inForce);

  Findings m_errors;
  Findings m_warnings;
  Differences m_differences;
};

} // namespace cowslippin
