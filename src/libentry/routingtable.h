#pragma once

#include "libjobs/jobs.h"

#include "libcore/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// Where callers find a queue, and how its jobs are treated.
struct Route
{
  std::string host;
  std::string pathPrefix;
  QueuePolicy policy;
  /// A request that takes longer is given up.
  Duration timeout = std::chrono::seconds(30);
  /// Set if jobs of this queue can't be served yet: why.
  std::string unsupported;
};

/// The configuration in force: all queues, as of one version.
class RoutingTable
{
public:
  RoutingTable() = default;
  RoutingTable(std::uint64_t version, std::vector<Route> routes)
    : m_version(version)
    , m_routes(std::move(routes))
  {
  }

  /// Rises with each change; 0 if there is no configuration yet.
  std::uint64_t version() const { return m_version; }
  const std::vector<Route>& routes() const { return m_routes; }

  /// The route of this host with the longest prefix of the path, or null.
  const Route* find(std::string_view host, std::string_view path) const;

  /// Whether any queue's tasks run on this service's workers.
  bool uses(const ServiceName& service) const;

private:
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
};

} // namespace cowslippin
