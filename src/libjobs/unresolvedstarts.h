#pragma once

#include "libcore/clock.h"
#include "libcore/ids.h"

#include "libworkers/runkey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cowslippin {

/// A start of unknown outcome: its worker didn't answer and may still carry it
/// out before `until` if the worker restarts under its id.
struct UnresolvedStart
{
  RunKey key;
  WorkerId worker;
  TimePoint until{};

  friend bool operator==(const UnresolvedStart& a, const UnresolvedStart& b)
  {
    return a.key == b.key && a.worker == b.worker && a.until == b.until;
  }
  friend bool operator!=(const UnresolvedStart& a, const UnresolvedStart& b)
  {
    return !(a == b);
  }
};

/// Unresolved starts by task. A task that has one may be started only on the
/// same worker, as another worker could run it at the same time. A start is
/// kept until it expires, even when a run of its number is reported, because
/// another holder may have sent it more than once. The class reads no clock.
class UnresolvedStarts
{
public:
  /// Where a task may be started while it has unresolved starts.
  struct Binding
  {
    /// Not set if the starts were sent to several workers, so that no worker is
    /// safe.
    std::optional<WorkerId> worker;
    /// When the last of the starts expires.
    TimePoint until{};
    /// Higher than the run number of any of the starts.
    std::uint64_t nextRun = 1;
  };

  void add(const UnresolvedStart& start);
  /// Removes the starts that can no longer be carried out.
  void expire(TimePoint now);

  /// Returns nothing if the task may be started on any worker.
  std::optional<Binding> binding(const std::string& task) const;
  std::vector<UnresolvedStart> all() const;
  bool isEmpty() const { return m_starts.empty(); }

private:
  /// The worker is part of the key, as runs of two submissions of a job may
  /// have the same number.
  std::map<std::pair<RunKey, WorkerId>, TimePoint> m_starts;
};

} // namespace cowslippin
