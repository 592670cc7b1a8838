#pragma once

#include "deployment.h"
#include "figures.h"
#include "libdispatch/dispatch.h"

#include <deque>
#include <memory>
#include <queue>
#include <random>

namespace cowslippin {

/// A stream of submissions at random times.
struct Arrivals
{
  /// Under which the figures are kept.
  std::string group = "all";
  std::string organisation = "notaries";
  /// The part of all slots that it keeps busy.
  double load = 0.5;
  Duration from = Duration::zero();
  Duration to = std::chrono::seconds(40);
  int tasksOfEach = 1;
  /// Where all go; any daemon when negative.
  int daemon = -1;
  int urgency = 0;
  /// Added to twice the true mean run time.
  std::optional<Duration> deadline;
  std::vector<ZoneName> allowedZones;
  /// Declared run time over the true mean.
  double declaredFactor = 1.0;
};

/// Daemons that dispatch to modelled endpoints, on a virtual clock. An
/// endpoint runs as many attempts as it has slots; more wait there in order
/// of arrival up to its connections, and beyond those are refused.
class Simulation
{
public:
  /// `sharesSlots` tells the daemons of each other, so that they deal the
  /// endpoints' slots out.
  Simulation(const Deployment& deployment,
             const DispatchSettings& settings,
             bool sharesSlots,
             std::uint64_t seed);

  void add(const Arrivals& arrivals);
  /// Submits one job of so many tasks.
  void addJob(const Arrivals& arrivals, Duration time, int tasks);
  void at(Duration time, std::function<void()> action);
  void slowDown(int endpoint, double factor);
  void failAtOnce(int endpoint);
  /// Cuts a zone off with its daemons and endpoints; the list of endpoints
  /// says so a while later.
  void loseZone(int zone);
  /// Cancels the tasks of a group that have not ended.
  void cancel(const std::string& group);

  Figures run();

private:
  struct Task
  {
    std::string group;
    TimePoint submitted;
    /// Since when it waits at its daemon.
    TimePoint waitsSince;
    Duration runTime;
    std::optional<TimePoint> deadline;
    int daemon;
    bool measured;
  };
  struct Daemon
  {
    std::unique_ptr<Dispatcher> dispatcher;
    int zone;
    bool lost = false;
    std::optional<TimePoint> wake;
  };
  struct Attempt
  {
    Start start;
    int daemon;
    TimePoint sent;
    TimePoint arrived;
    Duration runTime;
  };
  struct ModelEndpoint
  {
    int zone;
    int busy = 0;
    double slowness = 1.0;
    bool failsAtOnce = false;
    bool lost = false;
    std::deque<Attempt> waiting;
  };
  struct Event
  {
    TimePoint time;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const
    {
      return time != other.time ? time > other.time : number > other.number;
    }
  };

  void schedule(TimePoint time, std::function<void()> action);
  void listEndpoints();
  std::vector<VirtualMachine> listVms() const;
  Duration drawRunTime(bool isLong);
  void arriveNext(const Arrivals& arrivals, TimePoint time);
  void submit(const Arrivals& arrivals, int tasks);
  int drawDaemon(const Arrivals& arrivals);
  void submitTo(int daemon, const std::vector<TaskSpec>& tasks);
  void poll(int daemon);
  void send(int daemon, const Start& start);
  Duration delay(int daemon, const ModelEndpoint& endpoint) const;
  void arrived(int endpoint, Attempt attempt);
  void begin(int endpoint, const Attempt& attempt);
  void ran(int endpoint, const Attempt& attempt);
  void report(int endpoint, const Attempt& attempt, AttemptEnd end);
  void deliver(const Attempt& attempt,
               AttemptEnd end,
               std::optional<int> slotsFree);
  void ended(const TaskId& id, const std::optional<Problem>& problem);
  void answered(const Task& task);

  Deployment m_deployment;
  bool m_sharesSlots;
  std::mt19937_64 m_random;
  TimePoint m_now;
  std::uint64_t m_eventCount = 0;
  std::uint64_t m_submissionCount = 0;
  std::priority_queue<Event> m_events;
  std::vector<Daemon> m_daemons;
  std::vector<ModelEndpoint> m_endpoints;
  std::vector<bool> m_unlistedZones;
  std::map<TaskId, Task> m_tasks;
  Figures m_figures;
};

} // namespace cowslippin
