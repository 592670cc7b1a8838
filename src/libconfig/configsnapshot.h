#pragma once

#include "configuration.h"

namespace cowslippin {

/// A whole configuration, appended to the config stream again before its
/// records fall out of retention. It counts only when it sits right behind
/// the last record it was made from.
class ConfigSnapshot
{
public:
  explicit ConfigSnapshot(Configuration configuration)
    : m_configuration(std::move(configuration))
  {
  }

  const Configuration& configuration() const { return m_configuration; }

  /// Whether a snapshot read at `at` holds every record before it.
  bool isValidAt(Offset at) const { return m_configuration.offset() + 1 == at; }

  friend bool operator==(const ConfigSnapshot& a, const ConfigSnapshot& b)
  {
    return a.m_configuration == b.m_configuration;
  }
  friend bool operator!=(const ConfigSnapshot& a, const ConfigSnapshot& b)
  {
    return !(a == b);
  }

private:
  Configuration m_configuration;
};

} // namespace cowslippin
