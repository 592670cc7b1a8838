#include "rulercase.h"

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Arrivals
steady(double load)
{
  Arrivals arrivals;
  arrivals.load = load;
  return arrivals;
}

/// A stream with figures and an organisation of its own.
Arrivals
named(const std::string& group, double load)
{
  Arrivals arrivals = steady(load);
  arrivals.group = group;
  arrivals.organisation = group;
  return arrivals;
}

void
burst(Simulation& simulation)
{
  simulation.add(steady(0.5));
  Arrivals jobs = named("jobs", 0.0);
  jobs.daemon = 0;
  for (const int second : { 15, 16, 25 }) {
    simulation.addJob(jobs, seconds(second), 2000);
  }
}

void
overload(Simulation& simulation)
{
  Arrivals arrivals = steady(1.2);
  arrivals.deadline = seconds(2);
  simulation.add(arrivals);
}

void
slowEndpoint(Simulation& simulation)
{
  simulation.add(steady(0.85));
  simulation.at(seconds(15), [&] { simulation.slowDown(0, 10.0); });
}

void
failingEndpoint(Simulation& simulation)
{
  simulation.add(steady(0.85));
  simulation.at(seconds(15), [&] { simulation.failAtOnce(0); });
}

void
declaredTooLong(Simulation& simulation)
{
  Arrivals arrivals = steady(0.85);
  arrivals.declaredFactor = 10.0;
  arrivals.deadline = seconds(10);
  simulation.add(arrivals);
}

void
declaredTooShort(Simulation& simulation)
{
  Arrivals arrivals = steady(0.85);
  arrivals.declaredFactor = 0.1;
  arrivals.deadline = seconds(10);
  simulation.add(arrivals);
}

void
cancellations(Simulation& simulation)
{
  simulation.add(steady(0.5));
  Arrivals jobs = named("jobs", 0.0);
  for (int job = 0; job < 6; ++job) {
    jobs.daemon = job;
    simulation.addJob(jobs, seconds(15), 2000);
  }
  simulation.at(seconds(17), [&] { simulation.cancel("jobs"); });
}

void
zoneLost(Simulation& simulation)
{
  simulation.add(steady(0.5));
  simulation.at(seconds(20), [&] { simulation.loseZone(0); });
}

void
neverRun(Simulation& simulation)
{
  simulation.add(steady(0.8));
  Arrivals never = named("never", 0.2);
  never.allowedZones = { ZoneName("closed") };
  simulation.add(never);
}

void
flood(Simulation& simulation)
{
  simulation.add(steady(0.3));
  Arrivals flood = named("flood", 1.2);
  flood.from = seconds(12);
  flood.to = seconds(30);
  flood.tasksOfEach = 500;
  simulation.add(flood);
}

void
urgent(Simulation& simulation)
{
  Arrivals bulk = steady(0.9);
  bulk.group = "bulk";
  bulk.tasksOfEach = 500;
  simulation.add(bulk);
  Arrivals urgent = steady(0.05);
  urgent.group = "urgent";
  urgent.urgency = 9;
  simulation.add(urgent);
}

} // namespace

std::vector<RulerCase>
rulerCases()
{
  return {
    { "steady-50", [](Simulation& s) { s.add(steady(0.5)); } },
    { "steady-85", [](Simulation& s) { s.add(steady(0.85)); } },
    { "burst", burst },
    { "overload-120", overload },
    { "slow-endpoint", slowEndpoint },
    { "failing-endpoint", failingEndpoint },
    { "declared-long", declaredTooLong },
    { "declared-short", declaredTooShort },
    { "cancellations", cancellations },
    { "zone-lost", zoneLost },
    { "never-run", neverRun },
    { "flood", flood },
    { "urgent-in-bulk", urgent },
  };
}

} // namespace cowslippin
