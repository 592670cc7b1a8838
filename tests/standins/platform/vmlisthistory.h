#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace cowslippin::standins {

/// Every version that the VM list has had, so that readers can be shown an
/// older one. Not safe for use by several threads.
class VmListHistory
{
public:
  using Instant = std::chrono::steady_clock::time_point;

  VmListHistory();

  /// Puts a new version in force and returns its number. `list` has the
  /// members `vms` and `endpoints`; either may be left out to keep it.
  std::uint64_t replace(const nlohmann::json& list, Instant now);

  /// The version that was in force at `at`, or the oldest.
  nlohmann::json at(Instant at) const;

private:
  struct Version
  {
    nlohmann::json list;
    Instant since;
  };

  std::vector<Version> m_versions;
};

} // namespace cowslippin::standins
