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

/// A start that its worker didn't answer and may still carry out before `until`
/// if it restarts under its id.
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
/// same worker, as any other could run it at the same time. A start stays until
/// it expires, also when a run of its number is seen: another holder may have
/// sent it more than once. It reads no clock.
class UnresolvedStarts
{
public:
  /// Where a task may be started while it has unresolved starts.
  struct Binding
  {
    /// Nothing if they were sent to several workers, so that none is safe.
    std::optional<WorkerId> worker;
    /// When the last of them expires.
    TimePoint until{};
    /// Higher than the number of any of them.
    std::uint64_t nextRun = 1;
  };

  void add(const UnresolvedStart& start);
  /// Removes the starts that can no longer be carried out.
  void expire(TimePoint now);

  /// Nothing if the task may be started anywhere.
  std::optional<Binding> binding(const std::string& task) const;
  std::vector<UnresolvedStart> all() const;
  bool isEmpty() const { return m_starts.empty(); }

private:
  /// Runs of two submissions of a job may have the same number.
  std::map<std::pair<RunKey, WorkerId>, TimePoint> m_starts;
};

} // namespace cowslippin
