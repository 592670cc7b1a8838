#include "configurationcheck.h"

#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace cowslippin {

namespace {

constexpr double microsecondsPerMillisecond = 1000;

/// A field of a route, by its name in a configuration.
struct RouteField
{
  const char* name;
  RouteValue (*valueOf)(const Route&);
};

RouteValue
milliseconds(Duration duration)
{
  return routeNumber(double(duration.count()) / microsecondsPerMillisecond);
}

RouteValue
nameOf(const Route& route)
{
  return route.policy.queue;
}

RouteValue
backendOf(const Route& route)
{
  return route.policy.service.value();
}

RouteValue
priorityOf(const Route& route)
{
  return std::int64_t(route.policy.priority);
}

RouteValue
attemptsOf(const Route& route)
{
  return std::int64_t(route.policy.maxAttempts);
}

RouteValue
stretchOf(const Route& route)
{
  return routeNumber(route.policy.stretch);
}

RouteValue
targetOf(const Route& route)
{
  return milliseconds(route.policy.target);
}

RouteValue
timeoutOf(const Route& route)
{
  return milliseconds(route.timeout);
}

/// Why jobs of the route are refused.
RouteValue
unsupportedOf(const Route& route)
{
  return route.invalidField ? route.invalidField->detail() : route.unsupported;
}

/// The fields of a queue. They are meant to be the same in all routes to it.
constexpr std::array<RouteField, 4> queueFields{
  { { "priority", priorityOf },
    { "max_attempts", attemptsOf },
    { "stretch", stretchOf },
    { "target_duration_ms", targetOf } }
};

constexpr std::array<RouteField, 8> comparedFields{
  { { "name", nameOf },
    { "backend", backendOf },
    { "priority", priorityOf },
    { "max_attempts", attemptsOf },
    { "stretch", stretchOf },
    { "target_duration_ms", targetOf },
    { "timeout_ms", timeoutOf },
    { "unsupported", unsupportedOf } }
};

using RouteKey = std::pair<std::string_view, std::string_view>;

RouteKey
keyOf(const Route& route)
{
  return { route.host, route.pathPrefix };
}

/// The index of the first route of each host and path prefix, which is the one
/// that `RoutingTable::find` returns.
std::map<RouteKey, std::size_t>
matchingRoutes(const RoutingTable& table)
{
  std::map<RouteKey, std::size_t> indices;
  for (std::size_t i = 0; i < table.routes().size(); ++i)
    indices.emplace(keyOf(table.routes()[i]), i);
  return indices;
}

std::string
pathOf(std::size_t index)
{
  return "routes[" + std::to_string(index) + ']';
}

std::string
pathOf(std::size_t index, const char* field)
{
  return pathOf(index) + '.' + field;
}

std::string
quoted(const std::string& name)
{
  return displayRouteValue(name);
}

/// The jobs of a queue with a stretch below 1 that are late even if they never
/// wait.
std::string
lateJobs(const QueuePolicy& policy)
{
  if (policy.target == Duration::zero())
    return "every job";
  const double longestMicroseconds =
    std::round(double(policy.target.count()) / (1 - policy.stretch));
  const RouteValue longestMs =
    routeNumber(std::ceil(longestMicroseconds / microsecondsPerMillisecond));
  return "a job whose expected run time is above " +
         displayRouteValue(longestMs) + " ms";
}

std::vector<RouteFieldChange>
changesOf(const Route& before, const Route& after)
{
  std::vector<RouteFieldChange> changes;
  const bool isComparable = !before.invalidField && !after.invalidField;
  for (const RouteField& field : comparedFields) {
    if (!isComparable && field.valueOf != unsupportedOf)
      continue;
    RouteValue old = field.valueOf(before);
    RouteValue now = field.valueOf(after);
    if (old != now)
      changes.emplace_back(field.name, std::move(old), std::move(now));
  }
  return changes;
}

} // namespace

ConfigurationCheck::ConfigurationCheck(const RoutingTable& table)
{
  checkInvalidRoutes(table);
  checkShadowedRoutes(table);
  checkLimits(table);
  checkSharedQueues(table);
  checkUnsupported(table);
}

ConfigurationCheck::ConfigurationCheck(const RoutingTable& table,
                                       const RoutingTable& inForce)
{
  checkVersion(table, inForce);
  checkInvalidRoutes(table);
  checkShadowedRoutes(table);
  checkLimits(table);
  checkServices(table, inForce);
  checkSharedQueues(table);
  checkUnsupported(table);
  compareRoutes(table, inForce);
}

ConfigurationCheck::ConfigurationCheck(const Problem& problem)
{
  m_errors.emplace_back(problem.field().empty() ? "configuration"
                                                : problem.field(),
                        problem.detail());
}

void
ConfigurationCheck::checkVersion(const RoutingTable& table,
                                 const RoutingTable& inForce)
{
  if (table.version() > inForce.version())
    return;
  m_errors.emplace_back("version",
                        "version " + std::to_string(table.version()) +
                          " is not higher than " +
                          std::to_string(inForce.version()) +
                          " in force; daemons ignore this configuration");
}

/// The other checks leave these routes out, as only the first of their fields
/// is known that can't be used.
void
ConfigurationCheck::checkInvalidRoutes(const RoutingTable& table)
{
  for (const Route& route : table.routes()) {
    if (route.invalidField)
      m_errors.emplace_back(route.invalidField->field(),
                            route.invalidField->detail());
  }
}

void
ConfigurationCheck::checkShadowedRoutes(const RoutingTable& table)
{
  const auto matching = matchingRoutes(table);
  for (std::size_t i = 0; i < table.routes().size(); ++i) {
    const Route& route = table.routes()[i];
    const std::size_t first = matching.at(keyOf(route));
    if (first != i && !route.invalidField)
      m_errors.emplace_back(pathOf(i),
                            pathOf(i) + " can never match: " + pathOf(first) +
                              " before it has the same host " +
                              quoted(route.host) + " and path_prefix " +
                              quoted(route.pathPrefix));
  }
}

void
ConfigurationCheck::checkLimits(const RoutingTable& table)
{
  for (std::size_t i = 0; i < table.routes().size(); ++i) {
    const Route& route = table.routes()[i];
    if (route.invalidField)
      continue;
    checkTimeout(route, i);
    checkAttempts(route, i);
    checkStretch(route, i);
  }
}

void
ConfigurationCheck::checkTimeout(const Route& route, std::size_t index)
{
  if (route.timeout > route.policy.target)
    return;
  const std::string field = pathOf(index, "timeout_ms");
  m_errors.emplace_back(
    field,
    field + ' ' + displayRouteValue(timeoutOf(route)) +
      " is not above target_duration_ms " + displayRouteValue(targetOf(route)) +
      "; no job is ended by timeout_ms, the caller's deadline counts");
}

/// A task's failures are compared with the limit after each failure, so that 0
/// has the effect of 1.
void
ConfigurationCheck::checkAttempts(const Route& route, std::size_t index)
{
  if (route.policy.maxAttempts > 0)
    return;
  const std::string field = pathOf(index, "max_attempts");
  m_errors.emplace_back(field,
                        field + " 0 has the effect of 1: tasks are started, "
                                "and a job fails at the first failure");
}

/// A job's response time objective is its expected run time times `stretch`,
/// plus the target. The target makes up for a stretch below 1 in short runs.
void
ConfigurationCheck::checkStretch(const Route& route, std::size_t index)
{
  const double stretch = route.policy.stretch;
  if (stretch >= 1)
    return;
  const std::string field = pathOf(index, "stretch");
  m_errors.emplace_back(field,
                        field + ' ' + displayRouteValue(stretchOf(route)) +
                          " is below 1: " + lateJobs(route.policy) +
                          " is late even if it never waits");
}

void
ConfigurationCheck::checkServices(const RoutingTable& table,
                                  const RoutingTable& inForce)
{
  std::set<std::string_view> known;
  for (const Route& route : inForce.routes())
    known.insert(route.policy.service.value());
  for (std::size_t i = 0; i < table.routes().size(); ++i) {
    const std::string& service = table.routes()[i].policy.service.value();
    if (table.routes()[i].invalidField || known.count(service) > 0)
      continue;
    const std::string field = pathOf(i, "backend");
    m_warnings.emplace_back(field,
                            field + ' ' + quoted(service) +
                              " is not the service of any route in force");
  }
}

void
ConfigurationCheck::checkSharedQueues(const RoutingTable& table)
{
  std::unordered_map<std::string_view, std::size_t> firstByQueue;
  for (std::size_t i = 0; i < table.routes().size(); ++i) {
    if (table.routes()[i].invalidField)
      continue;
    const auto [first, isNew] =
      firstByQueue.emplace(table.routes()[i].policy.queue, i);
    if (!isNew)
      compareQueues(table, i, first->second);
  }
}

void
ConfigurationCheck::compareQueues(const RoutingTable& table,
                                  std::size_t index,
                                  std::size_t first)
{
  const Route& route = table.routes()[index];
  for (const RouteField& queueField : queueFields) {
    const RouteValue value = queueField.valueOf(route);
    const RouteValue other = queueField.valueOf(table.routes()[first]);
    if (value == other)
      continue;
    const std::string field = pathOf(index, queueField.name);
    m_warnings.emplace_back(
      field,
      field + ' ' + displayRouteValue(value) + " differs from " +
        displayRouteValue(other) + " of " + pathOf(first) +
        ", which has the same name " + quoted(route.policy.queue));
  }
}

void
ConfigurationCheck::checkUnsupported(const RoutingTable& table)
{
  for (std::size_t i = 0; i < table.routes().size(); ++i) {
    const std::string& feature = table.routes()[i].unsupported;
    if (!feature.empty())
      m_warnings.emplace_back(
        pathOf(i),
        pathOf(i) + " needs a feature that is not supported: " + feature);
  }
}

void
ConfigurationCheck::compareRoutes(const RoutingTable& table,
                                  const RoutingTable& inForce)
{
  using Kind = RouteDifference::Kind;
  const auto matching = matchingRoutes(table);
  const auto matchingInForce = matchingRoutes(inForce);
  for (std::size_t i = 0; i < table.routes().size(); ++i) {
    const Route& route = table.routes()[i];
    if (matching.at(keyOf(route)) != i)
      continue;
    const auto before = matchingInForce.find(keyOf(route));
    if (before == matchingInForce.end()) {
      m_differences.emplace_back(Kind::Added, route.host, route.pathPrefix);
      continue;
    }
    auto changes = changesOf(inForce.routes()[before->second], route);
    if (!changes.empty())
      m_differences.emplace_back(
        Kind::Changed, route.host, route.pathPrefix, std::move(changes));
  }
  for (std::size_t i = 0; i < inForce.routes().size(); ++i) {
    const Route& route = inForce.routes()[i];
    if (matchingInForce.at(keyOf(route)) == i &&
        matching.count(keyOf(route)) == 0)
      m_differences.emplace_back(Kind::Removed, route.host, route.pathPrefix);
  }
}

} // namespace cowslippin
