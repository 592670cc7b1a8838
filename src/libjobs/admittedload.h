#pragma once

#include "libcore/clock.h"
#include "libcore/shardid.h"

#include <map>
#include <string>

namespace cowslippin {

/// The load admitted to each shard, by how long its jobs can wait (their
/// slack), as a moving mean.
///
/// Jobs are served by their latest start. Jobs of short tasks, which can wait
/// 100 ms, therefore go before longer jobs that arrived earlier and can wait
/// 600 ms. A longer job waits for more than the jobs now in front of it: short
/// jobs that arrive meanwhile take their part of the workers first.
class AdmittedLoad
{
public:
  struct Settings
  {
    /// Time constant of the moving mean. A burst lasts three to four seconds;
    /// in half a second a shard of 16 workers admits some 20 jobs.
    Duration window = std::chrono::milliseconds(500);
  };

  explicit AdmittedLoad(Settings settings)
    : m_settings(settings)
  {
  }

  /// Records an admitted job. `slack` is how long it could wait; `work` is what
  /// it needs, in thousandths of a core times microseconds.
  void add(const ShardId& shard,
           const std::string& queue,
           Duration slack,
           double work,
           TimePoint now);

  /// Returns the load admitted to a shard from jobs that can wait shorter than
  /// `slack`, in thousandths of a core.
  double loadBefore(const ShardId& shard, Duration slack, TimePoint now) const;

private:
  struct Rate
  {
    /// Moving mean of the queue's slacks.
    double slack = 0;
    double work = 0;
    TimePoint at{};
  };

  double decayed(const Rate& rate, TimePoint now) const;

  const Settings m_settings;
  std::map<std::pair<ShardId, std::string>, Rate> m_rates;
};

} // namespace cowslippin
