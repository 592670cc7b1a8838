#pragma once

#include "libworkers/workers.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Bounds how often daemons may try to start one task, by what they promise. A
/// run number that arrives shows the tries before it, also those that couldn't
/// be sent, as each takes a number. One thread.
class StartBound
{
public:
  /// After a start that failed a holder tries a worker with no task for this
  /// time.
  static constexpr Duration retryDelay = std::chrono::milliseconds(90);
  /// Starts without an answer in that time: one is sent again after 30 ms, to
  /// its own worker only.
  static constexpr unsigned resendsADelay = 3;
  /// A holder returns a job no sooner than this after the last word from its
  /// submitter.
  static constexpr Duration maxContactAge = std::chrono::milliseconds(850);
  /// How many numbers a task leaves out when another holder may have used them.
  static constexpr unsigned runNumberGap = 8;
  /// That doubles with each refusal as stale, so many times at most.
  static constexpr unsigned maxDoublings = 24;

  /// The worker with index `i` belongs to the zone `i % zones`.
  StartBound(unsigned zones, std::size_t workers);

  /// A caller submits the job. Tasks of other jobs aren't checked.
  void submitted(const std::string& job, TimePoint now);
  /// A worker has learned of a lease.
  void claimed(std::size_t worker) { ++m_claims[worker]; }
  /// A run has begun.
  void began(const std::string& task) { ++m_tasks[task].runs; }
  /// A start was refused as its run number isn't above all earlier ones.
  void refusedAsStale(const std::string& task) { ++m_tasks[task].stale; }
  /// A start has reached its worker, which may carry it out or not. Returns
  /// what is wrong if there were too many, once a task.
  std::optional<std::string> arrived(const RunKey& key, TimePoint now);

private:
  struct Submission
  {
    TimePoint at{};
    /// By worker, up to then.
    std::vector<unsigned> claims;
  };
  struct Task
  {
    unsigned arrivals = 0;
    unsigned runs = 0;
    unsigned stale = 0;
    bool isOverBound = false;
  };

  struct Bound
  {
    std::uint64_t number = 0;
    std::uint64_t arrivals = 0;
  };

  Bound bound(const Submission& submission,
              const Task& task,
              TimePoint now) const;

  const unsigned m_zones;
  std::vector<unsigned> m_claims;
  std::map<std::string, Submission> m_submissions;
  std::map<std::string, Task> m_tasks;
};

} // namespace cowslippin::testing
