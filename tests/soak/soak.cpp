#include "soak.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <system_error>

namespace cowslippin::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration step = milliseconds(10);
constexpr Duration resendAfter = milliseconds(1300);
constexpr unsigned maxTries = 3;
/// The deadline of the route that the platform's stand-in configures.
constexpr Duration routeDeadline = milliseconds(1500);
/// Of each task of a mix; no worker has room for more than three at a time.
constexpr std::int64_t mixedCpu = 8000;
/// After a stall of this process the jobs that are due come over several steps.
constexpr int maxJobsAStep = 20;
/// While the soak is late its links pile up, for seconds at most.
constexpr Duration maxMissing = std::chrono::seconds(8);
constexpr Duration startAgainAfter = milliseconds(200);
/// Offsets into the range of ports.
constexpr std::uint16_t storePort = 0;
constexpr std::uint16_t callerPort = 1;
constexpr std::uint16_t readinessPort = 2;
constexpr std::uint16_t peerPort = 3;
constexpr std::uint16_t firstWorker = 10;
const LeasedPlatform::OrderFaults randomOrderFaults{ 0.03, 0.04 };
constexpr const char* workerProxyHost = "127.0.3.1";

LeasedPlatform::Settings
platformSettings(
  const Soak::Settings& settings,
  std::function<std::string(FencingToken, const RunKey&)> describeStart)
{
  LeasedPlatform::Settings platform;
  platform.zones = settings.zones;
  platform.workersPerZone = settings.workersPerZone;
  platform.storePort = settings.firstPort;
  platform.firstWorkerPort =
    static_cast<std::uint16_t>(settings.firstPort + firstWorker);
  platform.listedWorkerHost = workerProxyHost;
  platform.reportsBirths = settings.reportsBirths;
  platform.maxListingDelay = settings.maxListingDelay;
  platform.describeStart = std::move(describeStart);
  return platform;
}

} // namespace

Soak::Soak(Settings settings, std::uint64_t seed)
  : m_settings(std::move(settings))
  , m_random(seed)
  , m_linkRandom(seed + 1)
  , m_moreRandom(seed + 2)
  , m_lateRandom(seed + 3)
  , m_cutRandom(seed + 4)
  , m_storeRandom(seed + 5)
  , m_foreignRandom(seed + 6)
  , m_ordersRandom(seed + 8)
  , m_seriesRandom(seed + 9)
  , m_resetsRandom(seed + 10)
  , m_foreign(seed + 7)
  , m_platform(m_context,
               platformSettings(m_settings,
                                [this](FencingToken token, const RunKey& key) {
                                  return describeStart(token, key);
                                }),
               seed)
{
  setUpForeign();
  const unsigned count = m_settings.zones * m_settings.daemonsPerZone;
  for (unsigned i = 0; i < count; ++i) {
    Daemon daemon;
    daemon.host = "127.0.1." + std::to_string(i + 1);
    daemon.listenHost = "127.0.2." + std::to_string(i + 1);
    addProxies(daemon);
    writeSettings(daemon, i % m_settings.zones);
    m_daemons.push_back(std::move(daemon));
  }
  for (std::size_t i = 0; i < m_platform.workers(); ++i) {
    const Address& worker = m_platform.workerAddress(i);
    m_workerLinks.push_back(std::make_unique<LoopbackProxy>(
      m_context, Address(workerProxyHost, worker.port()), worker));
    m_workerLinks.back()->setObserver(
      [this](const std::string& source,
             const std::string& bytes,
             Duration heldFor) { noteOrder(source, bytes, heldFor); });
  }
}

unsigned
Soak::portsOf(const Settings& settings)
{
  return firstWorker + settings.zones * settings.workersPerZone;
}

Soak::Report
Soak::run(Duration struckTime, Duration calmTime)
{
  const TimePoint start = steadyNow();
  m_nextJobAt = start + std::chrono::seconds(2);
  m_nextStrikeAt = start + std::chrono::seconds(3);
  m_nextLinkStrikeAt = m_nextStrikeAt;
  m_nextMoreAt = m_nextStrikeAt;
  m_nextLateAt = m_nextStrikeAt;
  m_nextCutAt = m_nextStrikeAt;
  m_nextForeignAt = m_nextStrikeAt;
  m_nextOrdersAt = m_nextStrikeAt;
  m_nextSeriesAt = m_nextStrikeAt;
  m_nextResetsAt = m_nextStrikeAt;
  runUntil(start + std::chrono::seconds(3) + struckTime);
  m_isStruck = false;
  // What strikes still hold back ends within seconds; then all must be well.
  if (calmTime > Duration::zero())
    runUntil(steadyNow() + std::chrono::seconds(10));
  for (auto& [job, caller] : m_callers)
    caller.isCalm = false;
  m_report.calmCompleted = 0;
  const unsigned lastJob = m_lastJob;
  runUntil(steadyNow() + calmTime);
  m_report.calmSubmitted = m_lastJob - lastJob;
  m_nextJobAt = TimePoint::max();
  runUntil(steadyNow() + std::chrono::seconds(3));
  m_report.violations = m_platform.violations();
  m_report.doubleRuns = m_platform.doubleRuns();
  m_report.traces = m_platform.traces();
  for (const std::string& line : m_report.traces)
    note("trace " + line);
  return m_report;
}

void
Soak::runUntil(TimePoint end)
{
  TimePoint last = steadyNow();
  while (last < end) {
    m_context.run_for(step);
    tick(steadyNow());
    const TimePoint now = steadyNow();
    m_report.slowestRound = std::max(m_report.slowestRound, now - last);
    last = now;
  }
}

void
Soak::addProxies(Daemon& daemon)
{
  const auto relay = [&](std::uint16_t offset, const std::string& target) {
    const auto port = static_cast<std::uint16_t>(m_settings.firstPort + offset);
    return std::make_unique<LoopbackProxy>(
      m_context, Address(daemon.host, port), Address(target, port));
  };
  daemon.callers = relay(callerPort, daemon.listenHost);
  daemon.peers = relay(peerPort, daemon.listenHost);
  daemon.store = relay(storePort, "127.0.0.1");
}

void
Soak::tickProxies(TimePoint now)
{
  for (auto harmed = m_harmed.begin(); harmed != m_harmed.end();) {
    if (now < harmed->second) {
      ++harmed;
      continue;
    }
    harmed->first->setFaults({}, {});
    harmed = m_harmed.erase(harmed);
  }
  for (const Daemon& daemon : m_daemons) {
    daemon.callers->tick(now);
    daemon.peers->tick(now);
    daemon.store->tick(now);
  }
  for (const auto& link : m_workerLinks)
    link->tick(now);
}

void
Soak::strikeLink(TimePoint now)
{
  m_nextLinkStrikeAt = now + betweenStrikes(200 + below(1200, m_linkRandom));
  const Daemon& daemon = m_daemons[below(m_daemons.size(), m_linkRandom)];
  switch (below(4, m_linkRandom)) {
    case 0:
      harm(*daemon.callers, "callers of " + daemon.host, true);
      break;
    case 1:
      harm(*daemon.peers, "peers of " + daemon.host, false);
      break;
    case 2:
      harm(*daemon.store, "store of " + daemon.host, false);
      break;
    default: {
      const std::size_t worker = below(m_workerLinks.size(), m_linkRandom);
      harm(*m_workerLinks[worker], "worker " + std::to_string(worker), false);
    }
  }
}

/// A caller's request is never held back for so long that the caller has asked
/// elsewhere meanwhile: then it would be two requests.
void
Soak::harm(LoopbackProxy& proxy, const std::string& name, bool isCallers)
{
  const auto time = milliseconds(200 + below(2800, m_linkRandom));
  LoopbackProxy::Fault slow;
  slow.delay = milliseconds(20 + below(400, m_linkRandom));
  LoopbackProxy::Fault silent;
  silent.isSilent = true;
  const char* kind = "reset";
  switch (below(isCallers ? 3 : 5, m_linkRandom)) {
    case 0:
      proxy.reset();
      break;
    case 1:
      kind = "delay";
      proxy.setFaults(slow, slow);
      break;
    case 2:
      kind = "cut back";
      proxy.setFaults({}, silent);
      break;
    case 3:
      kind = "cut towards";
      proxy.setFaults(silent, {});
      break;
    default:
      kind = "silence";
      proxy.setFaults(silent, silent);
  }
  m_harmed[&proxy] = steadyNow() + time;
  struck(std::string(kind) + ", " + name + " ms " +
         std::to_string(time.count()));
}

void
Soak::writeSettings(Daemon& daemon, unsigned zone)
{
  const auto at = [&](std::uint16_t offset) {
    return daemon.listenHost + ':' +
           std::to_string(m_settings.firstPort + offset);
  };
  const json settings = {
    { "node_name", daemon.host },
    { "zone", "z" + std::to_string(zone) },
    { "ip", daemon.host },
    { "internal_ports", { m_settings.firstPort + peerPort } },
    { "seeds", json::array() },
    { "listen_addrs",
      { { "frontend", at(callerPort) }, { "readiness", at(readinessPort) } } },
    { "platform", { { "address", daemon.store->address().toString() } } },
    { "bounds", { { "grace_s", 6 } } }
  };
  daemon.settingsFile =
    m_settings.folder + "/settings-" + daemon.host + ".json";
  std::ofstream(daemon.settingsFile) << settings.dump();
}

void
Soak::tick(TimePoint now)
{
  for (Daemon& daemon : m_daemons) {
    if (daemon.process && now >= daemon.killAt &&
        daemon.killAt != TimePoint{}) {
      endProcess(daemon);
      daemon.killAt = {};
      daemon.startAt = now + milliseconds(300);
    }
    if (!daemon.process && now >= daemon.startAt)
      tryToStart(daemon, now);
    if (daemon.process && daemon.continueAt != TimePoint{} &&
        now >= daemon.continueAt) {
      daemon.process->signal(SIGCONT);
      daemon.continueAt = {};
    }
  }
  if (m_isStoreStruck && now >= m_storeBackAt)
    endStoreOutage();
  if (now >= m_ordersWellAt)
    m_platform.setOrderFaults({});
  if (m_isStruck && m_settings.strikesAtRandom && now >= m_nextStrikeAt)
    strike(now);
  if (m_isStruck && m_settings.strikesLinks && now >= m_nextLinkStrikeAt)
    strikeLink(now);
  if (m_isStruck && now >= m_nextMoreAt)
    strikeMore(now);
  if (m_isStruck && m_settings.strikesLateResets && m_settings.onlyKind < 0 &&
      now >= m_nextLateAt)
    strikeLate(now);
  if (m_isStruck && m_settings.strikesOrders && now >= m_nextOrdersAt)
    strikeOrders(now);
  if (m_isStruck && m_settings.strikesSeries && now >= m_nextSeriesAt)
    strikeSeries(now);
  if (m_isStruck && m_settings.strikesResets && now >= m_nextResetsAt)
    strikeResets(now);
  tickRolls(now);
  checkProcesses();
  tickForeign(now);
  tickCuts(now);
  tickMore(now);
  tickProxies(now);
  submitDue(now);
  std::vector<std::pair<TimePoint, std::string>> waiting;
  for (const auto& [at, job] : std::exchange(m_resends, {})) {
    if (now >= at)
      submit(job);
    else
      waiting.emplace_back(at, job);
  }
  m_resends.insert(m_resends.end(), waiting.begin(), waiting.end());
  for (Daemon& daemon : m_daemons) {
    const auto channels = daemon.channels;
    for (const auto& channel : channels)
      channel->expire(now);
  }
}

void
Soak::note(const std::string& line)
{
  if (m_settings.logFolder.empty())
    return;
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::ofstream(m_settings.logFolder + "/callers.log", std::ios::app)
    << now.count() << ' ' << line << '\n';
}

void
Soak::tryToStart(Daemon& daemon, TimePoint now)
{
  try {
    startProcess(daemon);
    daemon.missingSince.reset();
  } catch (const std::system_error& error) {
    const TimePoint since = daemon.missingSince.value_or(now);
    if (error.code() != std::errc::too_many_files_open ||
        now - since > maxMissing)
      throw;
    daemon.missingSince = since;
    daemon.startAt = now + startAgainAfter;
    struck("not started, no descriptors, " + daemon.host);
  }
}

void
Soak::startProcess(Daemon& daemon)
{
  const bool isLogged = !m_settings.logFolder.empty();
  std::vector<std::string> command{ "/usr/bin/env",
                                    "COWSLIPPIN_BOOT=" + daemon.settingsFile };
  if (m_settings.strikesCuts || m_settings.strikesOrders ||
      m_settings.strikesSeries || m_settings.strikesResets) {
    command.push_back(std::string("LD_PRELOAD=") + SOURCE_ADDRESS_LIBRARY);
    command.push_back("COWSLIPPIN_SOAK_SOURCE=" + daemon.listenHost);
  }
  if (m_settings.strikesSeries)
    command.push_back("COWSLIPPIN_SOAK_CLOCK_MS=" +
                      std::to_string(chooseClockOffset(daemon)));
  command.insert(command.end(),
                 { m_settings.program,
                   "--peer-listen-host",
                   daemon.listenHost,
                   "--log-level",
                   isLogged ? "info" : "error" });
  daemon.hasEnded = false;
  daemon.process = std::make_unique<DaemonProcess>(
    command, isLogged ? m_settings.logFolder + '/' + daemon.host + ".log" : "");
}

void
Soak::endProcess(Daemon& daemon)
{
  daemon.process.reset();
  daemon.isBackWhenEnded = false;
  daemon.continueAt = {};
}

/// Strikes overlap: the next one may come while the last still works.
void
Soak::strike(TimePoint now)
{
  m_nextStrikeAt = now + betweenStrikes(300 + below(1500));
  Daemon& daemon = m_daemons[below(m_daemons.size())];
  const Duration time = milliseconds(200 + below(3000));
  const auto note = [&](const std::string& what) {
    struck(
      what + " " + daemon.host + " ms " +
      std::to_string(std::chrono::duration_cast<milliseconds>(time).count()));
  };
  switch (below(8)) {
    case 0:
      note("kill");
      endProcess(daemon);
      daemon.startAt = now + time;
      break;
    case 1:
      if (!daemon.process)
        break;
      note("stop");
      daemon.process->signal(SIGSTOP);
      daemon.continueAt = now + time;
      break;
    case 2:
      if (!daemon.process || daemon.killAt != TimePoint{})
        break;
      note("term");
      daemon.process->signal(SIGTERM);
      daemon.killAt = now + std::chrono::seconds(6);
      break;
    case 3:
      note("store, not");
      strikeStore();
      m_storeBackAt = now + time;
      break;
    case 4:
      note("orders lost, not");
      m_platform.setOrderFaults(randomOrderFaults);
      m_ordersWellAt = now + time;
      break;
    case 5:
      note("worker crashed, not");
      crashWorker(below(m_platform.workers()));
      break;
    case 6:
      note("worker started again, not");
      if (m_settings.reportsBirths)
        m_platform.restartWorker(below(m_platform.workers()));
      else
        crashWorker(below(m_platform.workers()));
      break;
    default:
      if (below(4) > 0)
        break;
      note("kill all, first");
      for (Daemon& each : m_daemons) {
        endProcess(each);
        each.startAt = now + milliseconds(500);
      }
  }
}

Duration
Soak::betweenStrikes(std::size_t ms) const
{
  return Duration(
    std::int64_t(static_cast<double>(ms) * 1000 / m_settings.strikeRate));
}

void
Soak::submitDue(TimePoint now)
{
  for (int i = 0; i < maxJobsAStep && now >= m_nextJobAt; ++i) {
    m_nextJobAt += Duration(std::int64_t(1e6 / m_settings.jobsPerSecond));
    submitNew();
  }
}

void
Soak::submitNew()
{
  const std::string job = "job" + std::to_string(++m_lastJob);
  m_callers[job] = newCaller();
  ++m_report.submitted;
  m_platform.submitted(job);
  submit(job);
}

Soak::Caller
Soak::newCaller()
{
  Caller caller;
  caller.isCalm = !m_isStruck;
  if (!m_settings.mix.isEmpty()) {
    const RequestKind& kind =
      m_settings.mix.at(std::uniform_real_distribution<>(0, 1)(m_random));
    caller.cpu = mixedCpu;
    caller.tasks = kind.tasks;
    caller.taskMs = kind.taskMs;
    caller.runMs = spreadTime(kind.taskMs);
    return caller;
  }
  caller.taskMs =
    static_cast<unsigned>(below(5) == 0 ? 500 + below(700) : 40 + below(160));
  caller.cpu = 5000 + std::int64_t(below(4000));
  caller.tasks = static_cast<unsigned>(1 + below(5));
  // Runs that outlast the time until a caller submits again show late stops.
  if (below(10) == 0) {
    caller.taskMs = static_cast<unsigned>(1500 + below(1500));
    caller.tasks = static_cast<unsigned>(1 + below(2));
  }
  caller.runMs = caller.taskMs;
  return caller;
}

unsigned
Soak::spreadTime(unsigned meanMs)
{
  const double spread = m_settings.spread;
  if (spread == 0)
    return meanMs;
  std::lognormal_distribution<> factor(-spread * spread / 2, spread);
  return 1 + static_cast<unsigned>(meanMs * factor(m_random));
}

Duration
Soak::waitOf(const Caller& caller) const
{
  return m_settings.mix.isEmpty() ? milliseconds(5 * (2 * caller.taskMs + 60))
                                  : routeDeadline;
}

void
Soak::submit(const std::string& job)
{
  const auto found = m_callers.find(job);
  if (found == m_callers.end())
    return;
  Caller& caller = found->second;
  ++caller.tries;
  Daemon& daemon = chooseDaemon(caller);
  const Duration wait = waitOf(caller);
  note(job + " try " + std::to_string(caller.tries) + " at " + daemon.host);
  HttpCallRequest order;
  order.method = "POST";
  order.target = "/jobs/" + job;
  order.headers.emplace_back("X-Cowslippin-Request-Deadline-Ms",
                             std::to_string(wait.count() / 1000));
  order.contentType = "application/json";
  order.body = json{
    { "spec", std::to_string(caller.runMs) + ',' + std::to_string(caller.cpu) },
    { "best_effort", true },
    { "steps",
      { { { "count", caller.tasks },
          { "cpu", caller.cpu },
          { "estimate_ms", caller.taskMs } } } }
  }.dump();
  channelTo(daemon)->call(
    order, steadyNow() + wait, [this, job](const HttpCallResult& end) {
      answered(job, end);
    });
}

Soak::Daemon&
Soak::chooseDaemon(Caller& caller)
{
  const std::size_t count = m_daemons.size();
  if (caller.tries == 1 || count == 1)
    caller.daemon = below(count);
  else if (m_settings.retriesInZone && m_settings.daemonsPerZone > 1)
    caller.daemon = otherInZone(caller.daemon);
  else
    caller.daemon = (caller.daemon + 1 + below(count - 1)) % count;
  return m_daemons[caller.daemon];
}

/// Daemons of a zone are as many apart as there are zones.
std::size_t
Soak::otherInZone(std::size_t daemon)
{
  const std::size_t zones = m_settings.zones;
  const std::size_t others = m_settings.daemonsPerZone - 1;
  return (daemon + zones * (1 + below(others))) % m_daemons.size();
}

std::shared_ptr<AsyncHttpConnection>
Soak::channelTo(Daemon& daemon)
{
  auto& channels = daemon.channels;
  const auto isDead = [](const auto& channel) {
    return !channel->isBusy() && !channel->isOpen();
  };
  channels.erase(std::remove_if(channels.begin(), channels.end(), isDead),
                 channels.end());
  for (const auto& channel : channels) {
    if (!channel->isBusy())
      return channel;
  }
  channels.push_back(std::make_shared<AsyncHttpConnection>(
    m_context,
    Address(daemon.host,
            static_cast<std::uint16_t>(m_settings.firstPort + callerPort)),
    "jobs.example"));
  return channels.back();
}

void
Soak::answered(const std::string& job, const HttpCallResult& end)
{
  const auto found = m_callers.find(job);
  if (found == m_callers.end())
    return;
  Caller& caller = found->second;
  note(job + " end " + std::to_string(static_cast<int>(end.kind)) + " status " +
       std::to_string(end.status));
  const bool isAnswered = end.kind == HttpCallResult::Kind::Answered;
  if (isAnswered && end.status == 200) {
    if (caller.isCalm)
      ++m_report.calmCompleted;
    forget(job, m_report.completed);
  } else if (isAnswered && (end.status == 429 || end.status == 503)) {
    if (caller.wasOnlyRefused)
      m_platform.refused(job);
    forget(job, m_report.refused);
  } else if (caller.tries < maxTries) {
    // Nothing was sent, or nothing is known: the same job comes again.
    caller.wasOnlyRefused =
      caller.wasOnlyRefused && end.kind == HttpCallResult::Kind::NotSent;
    m_resends.emplace_back(steadyNow() + resendAfter, job);
  } else {
    forget(job, m_report.other);
  }
}

void
Soak::forget(const std::string& job, unsigned& counter)
{
  ++counter;
  m_callers.erase(job);
}

} // namespace cowslippin::testing
