#pragma once

#include "libworkers/workers.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A worker in memory, as the platform describes it: it ignores orders with a
/// lower token than it has seen, starts whatever it is told, ends what its
/// lease no longer covers, and lists ends until they are acknowledged. Its
/// clock is the test's plus an offset, and may be slow.
class FakeWorker
{
public:
  explicit FakeWorker(std::int64_t clockOffsetMs = 50000,
                      WorkerBootTime bootTime = {},
                      double clockRate = 1)
    : m_offset(clockOffsetMs)
    , m_bootTime(bootTime)
    , m_clockRate(clockRate)
  {
  }

  /// Is called whenever a run ends.
  void setOnEnd(std::function<void(const RunKey&, RunEnd)> onEnd)
  {
    m_onEnd = std::move(onEnd);
  }

  LeaseOrderAnswer hold(const LeaseOrder& order, TimePoint now)
  {
    expireLease(now);
    if (!admit(order.token))
      return OrderFailure::Fenced;
    if (order.deadlineMs)
      extend(*order.deadlineMs);
    while (!m_ended.empty() &&
           m_ended.front().sequence <= order.acknowledgedEnd)
      m_ended.erase(m_ended.begin());
    WorkerReport report;
    report.bootTime = m_bootTime;
    report.clockMs = clockMs(now);
    for (const auto& [key, percent] : m_running)
      report.active.push_back({ key, percent });
    report.ended = m_ended;
    return report;
  }

  OrderAnswer start(const StartOrder& order, TimePoint now)
  {
    const OrderAnswer answer = accept(order, now);
    if (!answer)
      list(order.key);
    return answer;
  }

  /// Checks a start. One that is accepted takes effect with `list`.
  OrderAnswer accept(const StartOrder& order, TimePoint now)
  {
    expireLease(now);
    if (!admit(order.token))
      return OrderFailure::Fenced;
    extend(order.deadlineMs);
    if (clockMs(now) >= order.deadlineMs)
      return OrderFailure::Late;
    if (m_running.count(order.key) == 0 && isStale(order.key))
      return OrderFailure::StaleRun;
    return std::nullopt;
  }

  /// Whether this run or a later one of its task has ended or was stopped.
  bool isStale(const RunKey& key) const
  {
    const auto last = m_lastRuns.find(key.task());
    return last != m_lastRuns.end() && key.run() <= last->second;
  }

  /// Begins the run of an accepted start unless it is in progress.
  void list(const RunKey& key)
  {
    if (m_running.emplace(key, 0).second)
      ++m_starts[key.task()];
  }

  OrderAnswer stop(const StopOrder& order, TimePoint now)
  {
    expireLease(now);
    if (!admit(order.token))
      return OrderFailure::Fenced;
    if (m_running.count(order.key) > 0)
      end(order.key, RunEnd::Stopped);
    noteRun(order.key);
    return std::nullopt;
  }

  /// Accepts a stop; the run goes on until the test ends it.
  OrderAnswer beginStop(const StopOrder& order, TimePoint now)
  {
    expireLease(now);
    if (!admit(order.token))
      return OrderFailure::Fenced;
    noteRun(order.key);
    return std::nullopt;
  }

  /// Ends a run by itself.
  void end(const RunKey& key, RunEnd how)
  {
    m_running.erase(key);
    noteRun(key);
    m_ended.push_back({ ++m_lastEnd, key, how });
    if (m_onEnd)
      m_onEnd(key, how);
  }

  void setPercent(const RunKey& key, int percent) { m_running[key] = percent; }

  /// Ends everything whose lease is over.
  void expireLease(TimePoint now)
  {
    if (clockMs(now) < m_deadlineMs)
      return;
    const auto running = m_running;
    for (const auto& [key, percent] : running)
      end(key, RunEnd::Expired);
  }

  /// Whether it lists an end.
  bool hasEnded() const { return !m_ended.empty(); }

  bool isRunning(const RunKey& key) const { return m_running.count(key) > 0; }
  bool isTaskRunning(const std::string& task) const
  {
    const auto found = m_running.lower_bound(RunKey(task, 0));
    return found != m_running.end() && found->first.task() == task;
  }
  std::size_t runCount() const { return m_running.size(); }
  std::vector<RunKey> runs() const
  {
    std::vector<RunKey> keys;
    for (const auto& [key, percent] : m_running)
      keys.push_back(key);
    return keys;
  }
  unsigned starts(const std::string& task) const
  {
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second;
  }
  FencingToken highestToken() const { return m_token; }

  std::int64_t clockMs(TimePoint now) const
  {
    const std::int64_t passed =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch())
        .count() +
      m_offset;
    return m_clockRate == 1
             ? passed
             : std::llround(static_cast<double>(passed) * m_clockRate);
  }

private:
  bool admit(FencingToken token)
  {
    if (token < m_token)
      return false;
    m_token = token;
    return true;
  }

  void extend(std::int64_t deadlineMs)
  {
    m_deadlineMs = std::max(m_deadlineMs, deadlineMs);
  }

  void noteRun(const RunKey& key)
  {
    std::uint64_t& last = m_lastRuns[key.task()];
    last = std::max(last, key.run());
  }

  std::int64_t m_offset;
  WorkerBootTime m_bootTime;
  double m_clockRate = 1;
  std::function<void(const RunKey&, RunEnd)> m_onEnd;
  FencingToken m_token = 0;
  std::int64_t m_deadlineMs = 0;
  std::map<RunKey, int> m_running;
  std::vector<EndedRun> m_ended;
  std::uint64_t m_lastEnd = 0;
  std::map<std::string, std::uint64_t> m_lastRuns;
  std::map<std::string, unsigned> m_starts;
};

} // namespace cowslippin::testing
