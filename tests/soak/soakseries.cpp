#include "durationtext.h"
#include "soak.h"

#include <algorithm>
#include <sys/wait.h>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// The clocks of two daemons differ by less than 3 s.
constexpr long maxClockOffsetMs = 1400;

} // namespace

void
Soak::strikeSeries(TimePoint now)
{
  m_nextSeriesAt = now + betweenStrikes(400 + below(1400, m_seriesRandom));
  Daemon& daemon = m_daemons[below(m_daemons.size(), m_seriesRandom)];
  const auto times = static_cast<unsigned>(2 + below(6, m_seriesRandom));
  switch (below(7, m_seriesRandom)) {
    case 0:
    case 1:
      restartAgain(daemon, times);
      break;
    case 2:
      rollZone();
      break;
    case 3:
      crashBehindCut();
      break;
    case 4:
      freezeAgain(daemon, times);
      break;
    case 5:
      forgetEntriesAgain(times, 0.1 + 0.1 * double(below(10, m_seriesRandom)));
      break;
    default:
      crashWorkersAgain(times);
  }
}

/// A daemon may come back with an earlier time of day than it had.
long
Soak::chooseClockOffset(const Daemon& daemon)
{
  if (below(2, m_seriesRandom) == 0)
    return 0;
  const long offset =
    static_cast<long>(below(2 * maxClockOffsetMs + 1, m_seriesRandom)) -
    maxClockOffsetMs;
  struck("clock of " + daemon.host + " is wrong by ms " +
         std::to_string(offset));
  return offset;
}

void
Soak::restartAgain(Daemon& daemon, unsigned times)
{
  const Duration away = milliseconds(5 + below(46, m_seriesRandom));
  endProcess(daemon);
  daemon.killAt = {};
  daemon.startAt = steadyNow() + away;
  struck("killed and soon back, " + daemon.host + inMs(away));
  if (times <= 1)
    return;
  later(milliseconds(100 + below(1400, m_seriesRandom)),
        [this, &daemon, times] { restartAgain(daemon, times - 1); });
}

/// All daemons of a zone, each before the last one is back; half of the times
/// their workers are cut off from them meanwhile.
void
Soak::rollZone()
{
  const std::size_t zone = below(m_settings.zones, m_seriesRandom);
  Duration at = Duration::zero();
  for (std::size_t i = zone; i < m_daemons.size(); i += m_settings.zones) {
    Daemon& daemon = m_daemons[i];
    later(at, [this, &daemon] {
      roll(daemon);
      daemon.isBackWhenEnded = daemon.killAt != TimePoint{};
    });
    at += milliseconds(below(1500, m_seriesRandom));
  }
  struck("roll of zone " + std::to_string(zone));
  if (below(2, m_seriesRandom) == 0)
    later(milliseconds(below(1000, m_seriesRandom)),
          [this, zone] { cutZoneFromWorkers(zone); });
}

/// From its own workers, or from all.
void
Soak::cutZoneFromWorkers(std::size_t zone)
{
  if (m_cut)
    return;
  std::set<std::string> sources;
  for (std::size_t i = zone; i < m_daemons.size(); i += m_settings.zones)
    sources.insert(m_daemons[i].listenHost);
  const bool isFromAll = below(2, m_seriesRandom) == 0;
  for (std::size_t i = 0; i < m_workerLinks.size(); ++i) {
    if (isFromAll || i % m_settings.zones == zone)
      m_workerLinks[i]->cut({ [sources](const std::string& source) {
                               return sources.count(source) > 0;
                             },
                              false });
  }
  const Duration time = milliseconds(300 + below(2200, m_seriesRandom));
  later(time, [this] {
    if (m_cut)
      return;
    for (const auto& link : m_workerLinks)
      link->endCut();
  });
  struck("zone " + std::to_string(zone) + " cut from workers for" + inMs(time));
}

/// Orders in transit to the workers reach their next incarnations.
void
Soak::crashBehindCut()
{
  const std::size_t count =
    1 +
    below(std::max<std::size_t>(m_workerLinks.size() / 6, 1), m_seriesRandom);
  const Duration time = milliseconds(200 + below(900, m_seriesRandom));
  LoopbackProxy::Fault silent;
  silent.isSilent = true;
  const bool isOneWay = below(2, m_seriesRandom) == 0;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t worker = below(m_workerLinks.size(), m_seriesRandom);
    LoopbackProxy& link = *m_workerLinks[worker];
    link.setFaults(silent, isOneWay ? LoopbackProxy::Fault() : silent);
    m_harmed[&link] = steadyNow() + time;
    later(time / 2, [this, worker] { m_platform.crashWorker(worker); });
  }
  struck(std::to_string(count) + " workers crash behind a cut of" + inMs(time));
}

void
Soak::freezeAgain(Daemon& daemon, unsigned times)
{
  const Duration time = milliseconds(100 + below(801, m_seriesRandom));
  stopFor(daemon, time);
  struck("frozen, " + daemon.host + inMs(time));
  if (times <= 1)
    return;
  later(time + milliseconds(20 + below(400, m_seriesRandom)),
        [this, &daemon, times] { freezeAgain(daemon, times - 1); });
}

void
Soak::forgetEntriesAgain(unsigned times, double share)
{
  const Duration time = milliseconds(50 + below(400, m_seriesRandom));
  unsigned busy = 0;
  unsigned idle = 0;
  for (std::size_t i = 0; i < m_platform.workers(); ++i) {
    if (!std::bernoulli_distribution(share)(m_seriesRandom))
      continue;
    ++(m_platform.isBusy(i) ? busy : idle);
    m_platform.forgetEntry(i, time);
  }
  struck("entries of " + std::to_string(busy) + " busy and " +
         std::to_string(idle) + " idle workers forgotten for" + inMs(time));
  if (times <= 1)
    return;
  later(time + milliseconds(50 + below(700, m_seriesRandom)),
        [this, times, share] { forgetEntriesAgain(times - 1, share); });
}

void
Soak::crashWorkersAgain(unsigned times)
{
  crashWorker(below(m_platform.workers(), m_seriesRandom));
  struck("worker crashed, one of a series");
  if (times <= 1)
    return;
  later(milliseconds(20 + below(500, m_seriesRandom)),
        [this, times] { crashWorkersAgain(times - 1); });
}

void
Soak::crashWorker(std::size_t index)
{
  m_platform.crashWorker(index);
  if (!m_settings.reportsBirths)
    m_workerLinks[index]->reset();
}

void
Soak::tickRolls(TimePoint now)
{
  for (Daemon& daemon : m_daemons) {
    if (!daemon.isBackWhenEnded || daemon.killAt == TimePoint{} ||
        !daemon.process || !hasProcessEnded(daemon))
      continue;
    endProcess(daemon);
    daemon.killAt = {};
    daemon.startAt = now + milliseconds(5 + below(200, m_seriesRandom));
  }
}

bool
Soak::hasProcessEnded(const Daemon& daemon)
{
  siginfo_t info{};
  waitid(P_PID,
         static_cast<id_t>(daemon.process->pid()),
         &info,
         WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid != 0;
}

} // namespace cowslippin::testing
