#pragma once

#include "libcore/clock.h"
#include "libcore/shardid.h"

#include <map>
#include <string>

namespace cowslippin {

/// How much work comes to each shard, by how long its jobs can wait: a moving
/// mean of what was admitted.
///
/// Jobs are served by their latest start, so that those of short tasks, which
/// can wait 100 ms, go before longer ones that came earlier and can wait 600
/// ms. A queue that looks short to the longer ones isn't: what will come and go
/// before them takes its part of the workers first.
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

  /// A job was admitted. `slack` is how long it could wait; `work` is what it
  /// takes, in thousandths of a core times the clock's ticks.
  void add(const ShardId& shard,
           const std::string& queue,
           Duration slack,
           double work,
           TimePoint now);

  /// What is admitted to a shard of jobs that can wait shorter than `slack`, in
  /// thousandths of a core.
  double before(const ShardId& shard, Duration slack, TimePoint now) const;

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
