#pragma once

#include "routefieldchange.h"

#include <string>
#include <utility>
#include <vector>

namespace cowslippin {

/// A route that was added, removed or changed compared with the configuration
/// in force. The host and the path prefix identify it.
class RouteDifference
{
public:
  enum class Kind
  {
    Added,
    Removed,
    Changed,
  };

  RouteDifference(Kind kind,
                  std::string host,
                  std::string pathPrefix,
                  std::vector<RouteFieldChange> changes = {})
    : m_kind(kind)
    , m_host(std::move(host))
    , m_pathPrefix(std::move(pathPrefix))
    , m_changes(std::move(changes))
  {
  }

  Kind kind() const { return m_kind; }
  const std::string& host() const { return m_host; }
  const std::string& pathPrefix() const { return m_pathPrefix; }
  /// Empty unless the route was changed.
  const std::vector<RouteFieldChange>& changes() const { return m_changes; }

  friend bool operator==(const RouteDifference& a, const RouteDifference& b)
  {
    return a.m_kind == b.m_kind && a.m_host == b.m_host &&
           a.m_pathPrefix == b.m_pathPrefix && a.m_changes == b.m_changes;
  }
  friend bool operator!=(const RouteDifference& a, const RouteDifference& b)
  {
    return !(a == b);
  }

private:
  Kind m_kind;
  std::string m_host;
  std::string m_pathPrefix;
  std::vector<RouteFieldChange> m_changes;
};

} // namespace cowslippin
