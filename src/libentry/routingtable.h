#pragma once

#include "libjobs/jobs.h"

#include "libcore/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// The host and path of a queue, and how its jobs are treated.
struct Route
{
  std::string host;
  std::string pathPrefix;
  QueuePolicy policy;
  /// As configured. It ends no job: the caller's own deadline counts.
  Duration timeout = std::chrono::seconds(30);
  /// Why jobs of this queue can't be served yet; empty if they can.
  std::string unsupported;
  /// The first field whose value can't be used, if any. Jobs of the queue are
  /// then refused. A path prefix that can't be used is empty, so that the route
  /// gets the requests that no other route of the host matches; a host that
  /// can't be used is empty, and matches no request.
  std::optional<Problem> invalidField;
};

/// The configuration in force: all queues of one version.
class RoutingTable
{
public:
  RoutingTable() = default;
  RoutingTable(std::uint64_t version, std::vector<Route> routes)
    : m_version(version)
    , m_routes(std::move(routes))
  {
  }

  /// Increases with each change; 0 if there is no configuration yet.
  std::uint64_t version() const { return m_version; }
  const std::vector<Route>& routes() const { return m_routes; }

  /// The route of this host with the longest matching path prefix, or null.
  const Route* find(std::string_view host, std::string_view path) const;

  /// The number of routes whose jobs are refused for an invalid field.
  std::size_t invalidRoutes() const;

  /// The highest number that stands for a priority in a route whose jobs aren't
  /// refused; a lower number goes first. 0 if there is no such route.
  int leastUrgentPriority() const;

  /// Whether the tasks of any queue run on workers of this service.
  bool uses(const ServiceName& service) const;

private:
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
};

} // namespace cowslippin
