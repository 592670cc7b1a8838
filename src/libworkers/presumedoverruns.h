#pragma once

#include "leaseevents.h"
#include "presumedovercause.h"
#include "runkey.h"

#include "libcore/clock.h"
#include "libcore/core.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cowslippin {

/// A run that was presumed over is listed by a worker's report.
struct RunReappeared
{
  RunKey key;
  /// Why the run was presumed over, and how long ago.
  PresumedOverCause cause;
  Duration sincePresumed;
  /// Token of the order that had started the run; 0 if another holder sent it.
  FencingToken previousToken = 0;
};

/// The runs of all workers of this daemon that were presumed over lately.
/// Detects that a worker has such a run after all, so that the conclusion was
/// wrong. A run of the same name at another worker is a different one. So is
/// one whose number a start was refused for: it is an earlier run. The class
/// reads no clock.
class PresumedOverRuns
{
public:
  using Counts = std::map<PresumedOverCause, std::uint64_t>;

  /// How many runs are remembered at most; the oldest are forgotten first.
  static constexpr std::size_t maxRuns = 256;
  /// How long a run is remembered: longer than an order may take to arrive.
  static constexpr Duration memory = std::chrono::seconds(15);

  void add(const WorkerId& worker, const RunPresumedOver& note);
  /// A start with this key is sent again on purpose.
  void runStarted(const WorkerId& worker, const RunKey& key)
  {
    forget(worker, key);
  }
  /// A worker's report lists the run as in progress, or as ended by itself.
  /// Returns nothing unless it was presumed over there. Each run is returned
  /// once.
  std::optional<RunReappeared> runListed(const WorkerId& worker,
                                         const RunKey& key,
                                         TimePoint now);

  /// How many runs were presumed over, and how many of them have reappeared,
  /// by the cause for which they were presumed over.
  const Counts& presumedOver() const { return m_presumedOver; }
  const Counts& reappeared() const { return m_reappeared; }

private:
  struct Run
  {
    RunKey key;
    WorkerId worker;
    PresumedOverCause cause;
    FencingToken token = 0;
    TimePoint at{};
  };
  using Runs = std::deque<Run>;

  Runs::iterator find(const WorkerId& worker, const RunKey& key);
  void forget(const WorkerId& worker, const RunKey& key);

  /// The oldest first.
  Runs m_runs;
  Counts m_presumedOver;
  Counts m_reappeared;
};

} // namespace cowslippin
