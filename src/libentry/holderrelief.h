#pragma once

#include "admittedshare.h"

#include "libjobs/jobrequest.h"

#include <map>
#include <string>

namespace cowslippin {

/// Decides which jobs that other daemons submit are refused by a holder that is
/// short of processor time, so that their submitters ask another holder. Does
/// no I/O and reads no clock.
///
/// A quarter of the jobs of each queue that may be refused is always taken, so
/// that a job finds a holder even if all are overloaded, as a submitter asks up
/// to four, and so that no queue is refused by the order in which its jobs
/// arrive among others.
class HolderRelief
{
public:
  struct Settings
  {
    /// Jobs are refused from the same waiting time on as callers' jobs. A
    /// holder gets most of its jobs from daemons that aren't overloaded
    /// themselves and refuse none, so that a higher limit lets a backlog grow
    /// whose jobs end too late.
    AdmittedShare::Settings share = shareOfHolder();
    /// Retry time for a caller whose job no other holder takes.
    Duration retryAfter = std::chrono::milliseconds(500);

    static AdmittedShare::Settings shareOfHolder();
  };

  explicit HolderRelief(Settings settings)
    : m_settings(settings)
    , m_share(settings.share)
  {
  }

  /// To be called at each tick with the time for which jobs wait for the
  /// processor.
  void tick(Duration wait, TimePoint now) { m_share.tick(wait, now); }
  void reset() { m_share.reset(); }

  /// Whether a job that another daemon has submitted is refused.
  bool refuses(const JobRequest& request);
  Duration retryAfter() const { return m_settings.retryAfter; }
  double share() const { return m_share.value(); }

private:
  const Settings m_settings;
  AdmittedShare m_share;
  /// For each queue, the part of a job that the next one adds to, so that
  /// exactly the share is taken.
  std::map<std::string, double> m_remainders;
};

} // namespace cowslippin
