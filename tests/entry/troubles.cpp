#include "troubles.h"

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t
anyDaemon(Simulation& simulation)
{
  return simulation.random()() % simulation.daemons();
}

std::size_t
anyWorker(Simulation& simulation)
{
  return simulation.random()() % simulation.workers();
}

Simulation::Settings
withOrderFaults()
{
  Simulation::Settings settings;
  settings.lostOrders = 0.02;
  settings.lostAnswers = 0.03;
  settings.lateOrders = 0.05;
  return settings;
}

/// Enough workers for two shards in each zone.
Simulation::Settings
withManyWorkers()
{
  Simulation::Settings settings;
  settings.workersPerZone = 62;
  settings.jobsPerSecond = 120;
  return settings;
}

Simulation::Settings
withManyWorkersAndOrderFaults()
{
  Simulation::Settings settings = withOrderFaults();
  settings.workersPerZone = withManyWorkers().workersPerZone;
  settings.jobsPerSecond = withManyWorkers().jobsPerSecond;
  return settings;
}

/// Workers enough that most of what is submitted is at work at any time.
Simulation::Settings
withLongJobs()
{
  Simulation::Settings settings;
  settings.workersPerZone = 12;
  settings.jobsPerSecond = 30;
  return settings;
}

/// Tasks that outlast the time after which lost callers submit again.
Simulation::Settings
withLongTasks()
{
  Simulation::Settings settings;
  settings.workersPerZone = 12;
  settings.jobsPerSecond = 20;
  settings.longestTaskMs = 3500;
  return settings;
}

Simulation::Settings
withLongTasksAndOrderFaults()
{
  Simulation::Settings settings = withLongTasks();
  settings.lostOrders = withOrderFaults().lostOrders;
  settings.lostAnswers = withOrderFaults().lostAnswers;
  settings.lateOrders = withOrderFaults().lateOrders;
  return settings;
}

/// Callers that come again whatever they are answered but an end.
Simulation::Settings
withReturningCallers(Simulation::Settings settings)
{
  settings.hasReturningCallers = true;
  return settings;
}

/// Daemons that read the store seconds after others.
Simulation::Settings
withLateLists()
{
  Simulation::Settings settings = withManyWorkersAndOrderFaults();
  settings.listLag = seconds(4);
  return settings;
}

/// Zones of one daemon each, so that whatever strikes it strikes the zone.
Simulation::Settings
withThinZones()
{
  Simulation::Settings settings = withOrderFaults();
  settings.zones = 3;
  settings.daemonsPerZone = 1;
  return settings;
}

/// The first of `troubles`, of which `All` chooses one at each strike.
constexpr std::size_t singleStrikes = 9;

void
strikeAny(Simulation& simulation)
{
  const auto all = troubles();
  all[simulation.random()() % singleStrikes].strike(simulation);
}

void
strikeAndDivide(Simulation& simulation)
{
  const std::vector<unsigned> sizes = { 30, 50, 62 };
  strikeAny(simulation);
  if (simulation.random()() % 2 == 0)
    simulation.setWorkersPerZone(sizes[simulation.random()() % sizes.size()]);
}

/// Entries of living workers expire, and the daemon that holds them may be
/// lost or leave meanwhile.
void
strikeUnlisted(Simulation& simulation)
{
  simulation.unlist(simulation.random()() % simulation.zones(),
                    0.5,
                    milliseconds(300 + simulation.random()() % 2500));
  simulation.runFor(milliseconds(simulation.random()() % 700));
  switch (simulation.random()() % 4) {
    case 0:
      simulation.kill(anyDaemon(simulation), milliseconds(600));
      break;
    case 1:
      simulation.powerOff(anyDaemon(simulation), milliseconds(900));
      break;
    default:
      simulation.leave(anyDaemon(simulation));
      break;
  }
}

/// Some workers start again under their ids, some of them twice in a second.
void
strikeRestarts(Simulation& simulation)
{
  for (int i = 0; i < 3; ++i) {
    const std::size_t worker = anyWorker(simulation);
    simulation.restartWorker(worker);
    simulation.runFor(milliseconds(simulation.random()() % 200));
    if (i == 0)
      simulation.restartWorker(worker);
  }
}

/// Zones are evacuated, more than one at a time or one twice in a second, and
/// taken back, but for the last strikes of a run not all at once.
void
strikeEvacuation(Simulation& simulation)
{
  const unsigned zone = simulation.random()() % simulation.zones();
  if (simulation.random()() % 2 == 0) {
    simulation.reopen(zone);
    return;
  }
  simulation.evacuate(zone);
  if (simulation.random()() % 2 == 0)
    return;
  simulation.runFor(milliseconds(simulation.random()() % 400));
  simulation.reopen(zone);
  simulation.runFor(milliseconds(simulation.random()() % 400));
  simulation.evacuate(zone);
}

void
loseUnevenly(Simulation& simulation)
{
  const Duration duration = milliseconds(900 + simulation.random()() % 5000);
  const Duration lag = milliseconds(100 + simulation.random()() % 1400);
  simulation.loseUnevenly(anyDaemon(simulation), duration, lag);
}

Ramp::Shape
anyLag(Simulation& simulation)
{
  Ramp::Shape lag;
  lag.peak = milliseconds(300 + simulation.random()() % 1200);
  lag.rise = milliseconds(1000 + simulation.random()() % 1000);
  lag.hold = milliseconds(simulation.random()() % 1500);
  return lag;
}

/// The callers of one daemon leave while one, mostly another, runs behind.
void
loseCallersBehind(Simulation& simulation)
{
  simulation.runBehind(anyDaemon(simulation), anyLag(simulation));
  simulation.runFor(milliseconds(500 + simulation.random()() % 1500));
  simulation.loseCallers(anyDaemon(simulation));
}

/// A daemon learns late that its callers are gone, at times after all of their
/// jobs are over.
void
loseCallersUnnoticed(Simulation& simulation)
{
  simulation.loseCallers(anyDaemon(simulation),
                         milliseconds(300 + simulation.random()() % 4000));
}

/// The same with daemons and connections that are lost meanwhile.
void
loseCallersUnnoticedAndStrike(Simulation& simulation)
{
  loseCallersUnnoticed(simulation);
  simulation.runFor(milliseconds(simulation.random()() % 1500));
  strikeAny(simulation);
}

/// A gateway stands still after its callers have left it unnoticed, and wakes
/// when they may be at other daemons.
void
loseCallersUnnoticedAndFreeze(Simulation& simulation)
{
  const std::size_t daemon = anyDaemon(simulation);
  simulation.loseCallers(daemon,
                         milliseconds(300 + simulation.random()() % 4000));
  simulation.runFor(milliseconds(simulation.random()() % 1200));
  simulation.freeze(daemon, milliseconds(200 + simulation.random()() % 2500));
}

/// Daemons that hear of losses late, and others that are lost meanwhile.
void
strikeLateNews(Simulation& simulation)
{
  switch (simulation.random()() % 3) {
    case 0:
      loseUnevenly(simulation);
      break;
    case 1:
      simulation.runBehind(anyDaemon(simulation), anyLag(simulation));
      break;
    default:
      loseCallersBehind(simulation);
      break;
  }
  simulation.runFor(milliseconds(simulation.random()() % 1500));
  if (simulation.random()() % 2 == 0)
    simulation.kill(anyDaemon(simulation), milliseconds(600));
  else
    simulation.loseCallers(anyDaemon(simulation));
}

} // namespace

Simulation::Settings
withRoomToEvacuate()
{
  Simulation::Settings settings;
  settings.zones = 3;
  settings.workersPerZone = 12;
  settings.jobsPerSecond = 15;
  settings.hasFailures = false;
  return settings;
}

std::vector<Trouble>
troubles()
{
  return {
    { "Kill", [](Simulation& s) { s.kill(anyDaemon(s), milliseconds(600)); } },
    { "PowerOff",
      [](Simulation& s) { s.powerOff(anyDaemon(s), milliseconds(900)); } },
    { "Freeze",
      [](Simulation& s) {
        s.freeze(anyDaemon(s), milliseconds(200 + s.random()() % 4000));
      } },
    { "Leave", [](Simulation& s) { s.leave(anyDaemon(s)); } },
    { "CutOff",
      [](Simulation& s) {
        s.cutOff(anyDaemon(s), milliseconds(300 + s.random()() % 5000));
      } },
    { "CutZone",
      [](Simulation& s) {
        s.cutZone(s.random()() % s.zones(), milliseconds(3000));
      } },
    { "ResetLinks", [](Simulation& s) { s.resetLinks(); } },
    { "CrashWorker", [](Simulation& s) { s.crashWorker(anyWorker(s)); } },
    { "KillAll", [](Simulation& s) { s.killAll(milliseconds(700)); } },
    { "OrderFaults", [](Simulation&) {}, withOrderFaults() },
    { "All", strikeAny, withOrderFaults() },
    { "DividedAnew",
      [](Simulation& s) {
        // With 50 each number of shards is kept, whichever it is.
        const std::vector<unsigned> sizes = { 30, 50, 62 };
        if (s.random()() % 4 == 0)
          s.kill(anyDaemon(s), milliseconds(600));
        else
          s.setWorkersPerZone(sizes[s.random()() % sizes.size()]);
      },
      withManyWorkers() },
    { "AllAndDividedAnew", strikeAndDivide, withManyWorkersAndOrderFaults() },
    { "AllAndLateLists", strikeAndDivide, withLateLists() },
    { "LeaveThinZone",
      [](Simulation& s) { s.leave(anyDaemon(s)); },
      withThinZones() },
    { "AllThinZones", strikeAny, withThinZones() },
    { "Unlisted", strikeUnlisted, withLongJobs() },
    { "UnlistedManyWorkers", strikeUnlisted, withManyWorkers() },
    { "RestartWorkers", strikeRestarts, withLongJobs() },
    { "RestartWorkersAndOrderFaults", strikeRestarts, withOrderFaults() },
    { "RestartWorkersAndAll",
      [](Simulation& s) {
        strikeRestarts(s);
        s.runFor(milliseconds(s.random()() % 300));
        strikeAny(s);
      },
      withOrderFaults() },
    { "Evacuate", strikeEvacuation, withRoomToEvacuate() },
    { "EvacuateAndAll",
      [](Simulation& s) {
        strikeEvacuation(s);
        s.runFor(milliseconds(s.random()() % 300));
        strikeAny(s);
      },
      withRoomToEvacuate() },
    { "UnevenLoss", loseUnevenly, withLongTasks() },
    { "UnevenLossAndOrderFaults", loseUnevenly, withLongTasksAndOrderFaults() },
    { "Behind",
      [](Simulation& s) { s.runBehind(anyDaemon(s), anyLag(s)); },
      withLongTasks() },
    { "LoseCallers",
      [](Simulation& s) { s.loseCallers(anyDaemon(s)); },
      withLongTasks() },
    { "LoseCallersBehind", loseCallersBehind, withLongTasks() },
    { "LateNews", strikeLateNews, withLongTasksAndOrderFaults() },
    { "LoseCallersUnnoticed", loseCallersUnnoticed, withLongTasks() },
    { "LoseCallersUnnoticedAndAll",
      loseCallersUnnoticedAndStrike,
      withLongTasksAndOrderFaults() },
    { "CallersReturn",
      loseCallersUnnoticed,
      withReturningCallers(withLongTasks()) },
    { "CallersReturnAndOrderFaults",
      loseCallersUnnoticed,
      withReturningCallers(withLongTasksAndOrderFaults()) },
    { "CallersReturnAndFreeze",
      loseCallersUnnoticedAndFreeze,
      withReturningCallers(withLongTasks()) },
    { "CallersReturnAndAll",
      loseCallersUnnoticedAndStrike,
      withReturningCallers(withLongTasksAndOrderFaults()) },
  };
}

} // namespace cowslippin::testing
