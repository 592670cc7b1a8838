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

/// A start that the worker didn't answer, and that it may still carry out until
/// then if it starts again under its id.
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

/// Unresolved starts by task. While a task has one it may be started only where
/// both can't run at once: on the same worker. It reads no clock.
class UnresolvedStarts
{
public:
  /// Where a task may be started until all its unresolved starts have expired.
  struct Binding
  {
    /// Nothing if they are of several workers, so that no worker is safe.
    std::optional<WorkerId> worker;
    TimePoint until{};
    /// Higher than the number of any of them.
    std::uint64_t nextRun = 1;
  };

  void add(const UnresolvedStart& start);
  /// The worker has carried the start out, as it has told.
  void resolve(const WorkerId& worker, const RunKey& key);
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
