#pragma once

#include "libcore/clock.h"
#include "libcore/core.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cowslippin {

/// The jobs that gateways have registered at this daemon. A registration is
/// valid until all runs of the job that the gateway may leave have ended,
/// unless the gateway renews it. The class does no I/O and reads no clock.
class JobRegistry
{
public:
  struct Registration
  {
    VmId gateway;
    TimePoint expiresAt{};

    friend bool operator==(const Registration& a, const Registration& b)
    {
      return a.gateway == b.gateway && a.expiresAt == b.expiresAt;
    }
    friend bool operator!=(const Registration& a, const Registration& b)
    {
      return !(a == b);
    }
  };

  /// How often a gateway renews the registration of a job in progress.
  static constexpr Duration renewalInterval = std::chrono::milliseconds(500);
  /// How long a registration is valid.
  static const Duration lifetime;

  /// Registers a job, or renews the gateway's registration of it. If another
  /// gateway has a valid registration, returns that one and changes nothing,
  /// unless the runs of that gateway have ended.
  std::optional<Registration> add(const JobId& job,
                                  const VmId& gateway,
                                  const std::vector<VmId>& endedAt,
                                  TimePoint now);
  /// A gateway can no longer be reached. Unless it renews them, its
  /// registrations expire when the runs that a lost gateway leaves have ended.
  void gatewayLost(const VmId& gateway, TimePoint now);
  /// Removes registrations that are no longer valid.
  void expire(TimePoint now);

  std::size_t size() const { return m_byJob.size(); }

private:
  std::unordered_map<JobId, Registration> m_byJob;
  /// When each registration expires unless it is renewed, the earliest first.
  std::deque<std::pair<TimePoint, JobId>> m_expiries;
};

} // namespace cowslippin
