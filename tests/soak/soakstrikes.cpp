#include "durationtext.h"
#include "soak.h"

#include <algorithm>
#include <csignal>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// Longer than any job's time.
constexpr Duration neverInAJob = std::chrono::seconds(40);

/// Kinds that `strikeOverlapping` chooses from; the last two end a process.
constexpr std::size_t harmKinds = 7;
constexpr std::size_t allKinds = 9;

} // namespace

void
Soak::strikeMore(TimePoint now)
{
  m_nextMoreAt = now + betweenStrikes(600 + below(2000, m_moreRandom));
  Daemon& daemon = m_daemons[below(m_daemons.size(), m_moreRandom)];
  if (m_settings.onlyKind < 0)
    strikeOverlapping(daemon);
  else
    strikeOnce(daemon, static_cast<std::size_t>(m_settings.onlyKind));
}

/// Half of the strikes are several at once, of which one ends a process.
void
Soak::strikeOverlapping(Daemon& daemon)
{
  strikeOnce(daemon, below(harmKinds, m_moreRandom));
  if (below(2, m_moreRandom) == 0)
    return;
  const std::size_t others = 1 + below(2, m_moreRandom);
  for (std::size_t i = 0; i < others; ++i) {
    const bool isSame = below(2, m_moreRandom) == 0;
    Daemon& next =
      isSame ? daemon : m_daemons[below(m_daemons.size(), m_moreRandom)];
    const std::size_t kind =
      i == 0 ? harmKinds + below(allKinds - harmKinds, m_moreRandom)
             : below(harmKinds, m_moreRandom);
    later(milliseconds(below(2500, m_moreRandom)),
          [this, &next, kind] { strikeOnce(next, kind); });
  }
}

void
Soak::strikeOnce(Daemon& daemon, std::size_t kind)
{
  switch (kind) {
    case 0:
      growDelay(daemon);
      break;
    case 1:
      cutOneWay(daemon);
      break;
    case 2:
      cutUnevenly(daemon);
      break;
    case 3:
      runBehind(daemon);
      break;
    case 4:
      pause(daemon);
      break;
    case 5:
      resetCallers(daemon);
      break;
    case growingDelayEverywhere:
      growDelayEverywhere(daemon);
      break;
    case 7:
      kill(daemon);
      break;
    case lateReset:
      resetLate(daemon);
      break;
    default:
      roll(daemon);
  }
}

/// The delay grows by at most 1.2 ms a millisecond, so that heartbeats come at
/// intervals below the silence limit.
void
Soak::growDelay(Daemon& daemon)
{
  LoopbackProxy::Fault slow;
  slow.peakDelay = milliseconds(600 + below(1901, m_moreRandom));
  const auto percent = 60 + std::int64_t(below(61, m_moreRandom));
  slow.rampTime = slow.peakDelay * 200 / percent;
  const bool isTowards = below(2, m_moreRandom) == 0;
  if (isTowards)
    daemon.peers->setFaults(slow, {});
  else
    daemon.peers->setFaults({}, slow);
  m_harmed[daemon.peers.get()] = steadyNow() + slow.rampTime;
  struck(std::string("growing delay ") + (isTowards ? "towards" : "back") +
         ", peers of " + daemon.host + " peak" + inMs(slow.peakDelay) + " for" +
         inMs(slow.rampTime));
}

/// Callers submit again while what their daemon says of them is still under way
/// to the holders.
void
Soak::growDelayEverywhere(Daemon& daemon)
{
  LoopbackProxy::Fault slow;
  slow.peakDelay = milliseconds(1500 + below(1001, m_moreRandom));
  slow.rampTime = slow.peakDelay * 2;
  const bool isTowards = below(2, m_moreRandom) == 0;
  for (const Daemon& each : m_daemons) {
    if (isTowards)
      each.peers->setFaults(slow, {});
    else
      each.peers->setFaults({}, slow);
    m_harmed[each.peers.get()] = steadyNow() + slow.rampTime;
  }
  m_nextMoreAt = std::max(m_nextMoreAt, steadyNow() + slow.rampTime);
  const bool isKill = below(2, m_moreRandom) == 0;
  later(slow.rampTime / 2, [this, &daemon, isKill] {
    if (isKill)
      kill(daemon);
    else
      for (Daemon& each : m_daemons)
        resetCallers(each);
  });
  struck(std::string("growing delay everywhere ") +
         (isTowards ? "towards" : "back") + ", peak" + inMs(slow.peakDelay));
}

void
Soak::cutOneWay(Daemon& daemon)
{
  const Duration time = milliseconds(300 + below(2200, m_moreRandom));
  LoopbackProxy::Fault silent;
  silent.isSilent = true;
  const bool isTowards = below(2, m_moreRandom) == 0;
  if (isTowards)
    daemon.peers->setFaults(silent, {});
  else
    daemon.peers->setFaults({}, silent);
  m_harmed[daemon.peers.get()] = steadyNow() + time;
  struck(std::string("one way cut ") + (isTowards ? "towards" : "back") +
         ", peers of " + daemon.host + inMs(time));
}

void
Soak::cutUnevenly(Daemon& daemon)
{
  const Duration first = milliseconds(50 + below(400, m_moreRandom));
  const Duration time = first + milliseconds(500 + below(2000, m_moreRandom));
  LoopbackProxy::Fault silent;
  silent.isSilent = true;
  LoopbackProxy& proxy = *daemon.peers;
  if (below(2, m_moreRandom) == 0)
    proxy.setFaults(silent, {});
  else
    proxy.setFaults({}, silent);
  const TimePoint end = steadyNow() + time;
  m_harmed[&proxy] = end;
  later(first, [this, &proxy, silent, end] {
    const auto harmed = m_harmed.find(&proxy);
    if (harmed != m_harmed.end() && harmed->second == end)
      proxy.setFaults(silent, silent);
  });
  struck("uneven cut, peers of " + daemon.host + " first" + inMs(first) +
         " for" + inMs(time));
}

void
Soak::runBehind(Daemon& daemon)
{
  const Duration time = milliseconds(1000 + below(2001, m_moreRandom));
  daemon.isBehindUntil = steadyNow() + time;
  struck("runs behind " + daemon.host + inMs(time));
}

void
Soak::pause(Daemon& daemon)
{
  const Duration time = milliseconds(300 + below(1201, m_moreRandom));
  stopFor(daemon, time);
  struck("pause " + daemon.host + inMs(time));
}

void
Soak::resetCallers(Daemon& daemon)
{
  daemon.callers->reset();
  struck("callers reset, daemon lives, " + daemon.host);
}

void
Soak::strikeLate(TimePoint now)
{
  m_nextLateAt = now + betweenStrikes(600 + below(2000, m_lateRandom));
  resetLate(m_daemons[below(m_daemons.size(), m_lateRandom)]);
}

/// The callers' side of the connections ends; the daemon learns it later, or
/// not while the jobs last, as when something between them drops the
/// connections or loses the packets that would tell.
void
Soak::resetLate(Daemon& daemon)
{
  const bool isNever = below(4, m_lateRandom) == 0;
  const Duration late = milliseconds(below(2501, m_lateRandom));
  daemon.callers->resetCallers(isNever ? neverInAJob : late);
  struck("callers reset, daemon learns it " +
         (isNever ? "never" : "after" + inMs(late)) + ", " + daemon.host);
}

void
Soak::kill(Daemon& daemon)
{
  const Duration time = milliseconds(200 + below(2000, m_moreRandom));
  endProcess(daemon);
  daemon.startAt = steadyNow() + time;
  struck("kill again " + daemon.host + inMs(time));
}

void
Soak::roll(Daemon& daemon)
{
  if (!daemon.process || daemon.killAt != TimePoint{})
    return;
  daemon.process->signal(SIGTERM);
  daemon.killAt = steadyNow() + std::chrono::seconds(6);
  struck("roll " + daemon.host);
}

void
Soak::tickMore(TimePoint now)
{
  std::vector<std::function<void()>> due;
  const auto isDue = [&](const auto& entry) {
    if (entry.first > now)
      return false;
    due.push_back(entry.second);
    return true;
  };
  m_later.erase(std::remove_if(m_later.begin(), m_later.end(), isDue),
                m_later.end());
  for (const auto& action : due)
    action();
  for (Daemon& daemon : m_daemons)
    tickPauses(daemon, now);
  noteViolations();
}

void
Soak::tickPauses(Daemon& daemon, TimePoint now)
{
  if (now >= daemon.isBehindUntil || now < daemon.nextPauseAt ||
      daemon.continueAt != TimePoint{})
    return;
  const Duration time = milliseconds(80 + below(140));
  stopFor(daemon, time);
  daemon.nextPauseAt = now + time + milliseconds(5 + below(30));
}

void
Soak::stopFor(Daemon& daemon, Duration time)
{
  if (!daemon.process)
    return;
  daemon.process->signal(SIGSTOP);
  daemon.continueAt = std::max(daemon.continueAt, steadyNow() + time);
}

void
Soak::later(Duration delay, const std::function<void()>& action)
{
  m_later.emplace_back(steadyNow() + delay, action);
}

void
Soak::struck(const std::string& what)
{
  m_report.strikes.push_back(what);
  note("strike " + what);
}

void
Soak::noteViolations()
{
  const auto& violations = m_platform.violations();
  for (; m_notedViolations < violations.size(); ++m_notedViolations)
    struck("(seen then) " + violations[m_notedViolations]);
}

} // namespace cowslippin::testing
