#include "routingtable.h"

#include <algorithm>

namespace cowslippin {

const Route*
RoutingTable::find(std::string_view host, std::string_view path) const
{
  const Route* best = nullptr;
  for (const Route& route : m_routes) {
    if (route.host.empty() || route.host != host ||
        path.substr(0, route.pathPrefix.size()) != route.pathPrefix)
      continue;
    if (!best || route.pathPrefix.size() > best->pathPrefix.size())
      best = &route;
  }
  return best;
}

std::size_t
RoutingTable::invalidRoutes() const
{
  return static_cast<std::size_t>(
    std::count_if(m_routes.begin(), m_routes.end(), [](const Route& route) {
      return route.invalidField.has_value();
    }));
}

int
RoutingTable::leastUrgentPriority() const
{
  std::optional<int> highest;
  for (const Route& route : m_routes) {
    if (!route.invalidField && (!highest || route.policy.priority > *highest))
      highest = route.policy.priority;
  }
  return highest.value_or(0);
}

bool
RoutingTable::uses(const ServiceName& service) const
{
  return std::any_of(m_routes.begin(), m_routes.end(), [&](const Route& route) {
    return route.policy.service == service;
  });
}

} // namespace cowslippin
