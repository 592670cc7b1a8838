#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint beginning{ seconds(1000) };
/// Tasks that arrive earlier only warm the daemons up.
constexpr Duration warmUp = seconds(10);
/// When the useful work is counted.
constexpr Duration usefulFrom = seconds(20);
constexpr Duration usefulTo = seconds(40);
constexpr Duration withinZone = Duration(100);
constexpr Duration connectTimeout = seconds(1);
constexpr Duration attemptTimeout = seconds(10);
constexpr Duration listLag = seconds(5);
constexpr double longPart = 0.02;
constexpr double shortest = 0.05;
constexpr double longest = 1.0;
constexpr double longShortest = 2.0;
constexpr double longLongest = 5.0;

double
meanOfShort()
{
  // The run times are spread evenly over the logarithm.
  return (longest - shortest) / std::log(longest / shortest);
}

double
meanOfLong()
{
  return (longShortest + longLongest) / 2;
}

double
meanRunTime()
{
  return (1 - longPart) * meanOfShort() + longPart * meanOfLong();
}

Duration
fromSeconds(double value)
{
  return Duration(std::llround(value * 1e6));
}

double
toSeconds(Duration duration)
{
  return static_cast<double>(duration.count()) / 1e6;
}

ZoneName
zoneName(int zone)
{
  return ZoneName("zone" + std::to_string(zone));
}

} // namespace

Simulation::Simulation(const Deployment& deployment,
                       const DispatchSettings& settings,
                       bool sharesSlots,
                       std::uint64_t seed)
  : m_deployment(deployment)
  , m_sharesSlots(sharesSlots)
  , m_random(seed)
  , m_now(beginning)
  , m_unlistedZones(static_cast<std::size_t>(deployment.zones), false)
{
  for (int i = 0; i < deployment.endpoints; ++i) {
    ModelEndpoint endpoint;
    endpoint.zone = i % deployment.zones;
    m_endpoints.push_back(endpoint);
  }
  for (int i = 0; i < deployment.daemons; ++i) {
    Daemon daemon;
    daemon.zone = i % deployment.zones;
    daemon.dispatcher = std::make_unique<Dispatcher>(
      settings, seed * 1000 + static_cast<std::uint64_t>(i));
    m_daemons.push_back(std::move(daemon));
  }
  listEndpoints();
}

void
Simulation::listEndpoints()
{
  std::vector<Endpoint> list;
  for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
    if (m_unlistedZones[static_cast<std::size_t>(m_endpoints[i].zone)]) {
      continue;
    }
    Endpoint::Fields fields;
    fields.id = EndpointId(std::to_string(i));
    fields.service = ServiceName("service");
    fields.zone = zoneName(m_endpoints[i].zone);
    fields.slots = m_deployment.slots;
    fields.connections = m_deployment.connections;
    list.emplace_back(fields);
  }
  const std::vector<VirtualMachine> vms = listVms();
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    Daemon& daemon = m_daemons[i];
    daemon.dispatcher->setEndpoints(list, zoneName(daemon.zone), m_now);
    if (m_sharesSlots) {
      daemon.dispatcher->setDaemons(vms, VmId(std::to_string(i)), m_now);
    }
  }
}

std::vector<VirtualMachine>
Simulation::listVms() const
{
  std::vector<VirtualMachine> list;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    if (!m_daemons[i].lost) {
      VirtualMachine::Fields fields;
      fields.id = VmId(std::to_string(i));
      fields.zone = zoneName(m_daemons[i].zone);
      list.emplace_back(fields);
    }
  }
  return list;
}

void
Simulation::schedule(TimePoint time, std::function<void()> action)
{
  m_events.push({ time, ++m_eventCount, std::move(action) });
}

void
Simulation::at(Duration time, std::function<void()> action)
{
  schedule(beginning + time, std::move(action));
}

void
Simulation::add(const Arrivals& arrivals)
{
  at(arrivals.from, [=] { arriveNext(arrivals, m_now); });
}

void
Simulation::arriveNext(const Arrivals& arrivals, TimePoint time)
{
  const double perSecond = arrivals.load * m_deployment.allSlots() /
                           (meanRunTime() * arrivals.tasksOfEach);
  std::exponential_distribution<double> gap(perSecond);
  const TimePoint next = time + fromSeconds(gap(m_random));
  if (next >= beginning + arrivals.to) {
    return;
  }
  schedule(next, [=] {
    submit(arrivals, arrivals.tasksOfEach);
    arriveNext(arrivals, m_now);
  });
}

void
Simulation::addJob(const Arrivals& arrivals, Duration time, int tasks)
{
  at(time, [=] { submit(arrivals, tasks); });
}

Duration
Simulation::drawRunTime(bool isLong)
{
  if (isLong) {
    std::uniform_real_distribution<double> spread(longShortest, longLongest);
    return fromSeconds(spread(m_random));
  }
  std::uniform_real_distribution<double> spread(std::log(shortest),
                                                std::log(longest));
  return fromSeconds(std::exp(spread(m_random)));
}

int
Simulation::drawDaemon(const Arrivals& arrivals)
{
  if (arrivals.daemon >= 0) {
    return arrivals.daemon % m_deployment.daemons;
  }
  // The balancer leaves out the daemons that it cannot reach.
  int daemon = 0;
  do {
    daemon = static_cast<int>(m_random() % m_daemons.size());
  } while (m_daemons[static_cast<std::size_t>(daemon)].lost);
  return daemon;
}

void
Simulation::submit(const Arrivals& arrivals, int tasks)
{
  const int daemon = drawDaemon(arrivals);
  const SubmissionKey key(arrivals.group + "/" +
                          std::to_string(++m_submissionCount));
  std::vector<TaskSpec> specs;
  for (int i = 0; i < tasks; ++i) {
    std::bernoulli_distribution drawLong(longPart);
    const bool isLong = drawLong(m_random);
    const double mean = isLong ? meanOfLong() : meanOfShort();
    TaskSpec::Fields fields;
    fields.id = TaskId(key, static_cast<TaskIndex>(i));
    fields.organisation = OrganisationName(arrivals.organisation);
    fields.templateName = TemplateName(isLong ? "report" : "check");
    fields.service = ServiceName("service");
    fields.allowedZones = arrivals.allowedZones;
    fields.repeatable = m_random() % 2 == 0;
    fields.declaredRunTime = fromSeconds(mean * arrivals.declaredFactor);
    fields.urgency = arrivals.urgency;
    if (arrivals.deadline) {
      fields.deadline = m_now + *arrivals.deadline + fromSeconds(2 * mean);
    }
    const std::optional<TimePoint> deadline = fields.deadline;
    specs.emplace_back(fields);
    Task task;
    task.group = arrivals.group;
    task.submitted = m_now;
    task.waitsSince = m_now + m_deployment.fromClient;
    task.runTime = drawRunTime(isLong);
    task.deadline = deadline;
    task.daemon = daemon;
    task.measured = m_now >= beginning + warmUp;
    m_figures.group(task.group).submitted += task.measured ? 1 : 0;
    m_tasks.emplace(fields.id, task);
  }
  schedule(m_now + m_deployment.fromClient, [=] { submitTo(daemon, specs); });
}

void
Simulation::submitTo(int daemon, const std::vector<TaskSpec>& tasks)
{
  Daemon& target = m_daemons[static_cast<std::size_t>(daemon)];
  const auto refusal = target.dispatcher->submitAll(tasks, m_now);
  for (const TaskSpec& task : tasks) {
    if (refusal) {
      ended(task.id(), refusal);
    }
  }
  poll(daemon);
}

void
Simulation::poll(int number)
{
  Daemon& daemon = m_daemons[static_cast<std::size_t>(number)];
  if (daemon.lost) {
    return;
  }
  for (const DispatchAction& action : daemon.dispatcher->poll(m_now)) {
    if (const auto* start = std::get_if<Start>(&action)) {
      send(number, *start);
    } else {
      const auto& giveUp = std::get<GiveUp>(action);
      ended(giveUp.task(), giveUp.problem());
    }
  }
  const std::optional<TimePoint> wake = daemon.dispatcher->nextWake();
  if (wake && daemon.wake != wake) {
    daemon.wake = wake;
    schedule(*wake, [=] { poll(number); });
  }
}

Duration
Simulation::delay(int daemon, const ModelEndpoint& endpoint) const
{
  const int zone = m_daemons[static_cast<std::size_t>(daemon)].zone;
  return zone == endpoint.zone ? withinZone : m_deployment.betweenZones;
}

void
Simulation::send(int daemon, const Start& start)
{
  const int number = std::stoi(start.endpoint().value());
  const ModelEndpoint& endpoint = m_endpoints[static_cast<std::size_t>(number)];
  const Task& task = m_tasks.at(start.task());
  if (task.measured) {
    GroupFigures& figures = m_figures.group(task.group);
    ++figures.starts;
    figures.waitedAtDaemon += toSeconds(m_now - task.waitsSince);
    figures.crossings += delay(daemon, endpoint) == withinZone ? 0 : 1;
  }
  const Attempt attempt{ start, daemon, m_now, m_now, task.runTime };
  if (endpoint.lost) {
    schedule(m_now + connectTimeout,
             [=] { deliver(attempt, AttemptEnd::NotStarted, {}); });
    return;
  }
  schedule(m_now + delay(daemon, endpoint), [=] { arrived(number, attempt); });
}

void
Simulation::arrived(int number, Attempt attempt)
{
  attempt.arrived = m_now;
  ModelEndpoint& endpoint = m_endpoints[static_cast<std::size_t>(number)];
  const int connected =
    endpoint.busy + static_cast<int>(endpoint.waiting.size());
  if (endpoint.failsAtOnce) {
    report(number, attempt, AttemptEnd::Failed);
  } else if (connected >= m_deployment.connections) {
    report(number, attempt, AttemptEnd::NotStarted);
  } else if (endpoint.busy >= m_deployment.slots) {
    endpoint.waiting.push_back(attempt);
  } else {
    begin(number, attempt);
  }
}

void
Simulation::begin(int number, const Attempt& attempt)
{
  ModelEndpoint& endpoint = m_endpoints[static_cast<std::size_t>(number)];
  ++endpoint.busy;
  const auto task = m_tasks.find(attempt.start.task());
  if (task != m_tasks.end() && task->second.measured) {
    m_figures.group(task->second.group).waitedAtEndpoint +=
      toSeconds(m_now - attempt.arrived);
  }
  const double runTime =
    endpoint.slowness * static_cast<double>(attempt.runTime.count());
  schedule(m_now + Duration(std::llround(runTime)),
           [=] { ran(number, attempt); });
}

void
Simulation::ran(int number, const Attempt& attempt)
{
  ModelEndpoint& endpoint = m_endpoints[static_cast<std::size_t>(number)];
  --endpoint.busy;
  if (!endpoint.waiting.empty()) {
    const Attempt next = endpoint.waiting.front();
    endpoint.waiting.pop_front();
    begin(number, next);
  }
  report(number, attempt, AttemptEnd::Answered);
}

void
Simulation::report(int number, const Attempt& attempt, AttemptEnd end)
{
  const ModelEndpoint& endpoint = m_endpoints[static_cast<std::size_t>(number)];
  if (endpoint.lost) {
    schedule(std::max(m_now, attempt.sent + attemptTimeout),
             [=] { deliver(attempt, AttemptEnd::Unknown, {}); });
    return;
  }
  const int slotsFree = m_deployment.slots - endpoint.busy;
  schedule(m_now + delay(attempt.daemon, endpoint),
           [=] { deliver(attempt, end, slotsFree); });
}

void
Simulation::deliver(const Attempt& attempt,
                    AttemptEnd end,
                    std::optional<int> slotsFree)
{
  Daemon& daemon = m_daemons[static_cast<std::size_t>(attempt.daemon)];
  if (daemon.lost) {
    return;
  }
  AttemptReport report;
  report.endpoint = attempt.start.endpoint();
  report.attempt = attempt.start.attempt();
  report.end = end;
  report.runTime = m_now - attempt.sent;
  report.slotsFree = slotsFree;
  const FinishResult result =
    daemon.dispatcher->finished(attempt.start.task(), report, m_now);
  if (result.kind() == FinishKind::TaskEnds) {
    ended(attempt.start.task(), result.problem());
  } else if (result.kind() == FinishKind::TriedAgain) {
    m_tasks.at(attempt.start.task()).waitsSince = m_now;
  }
  poll(attempt.daemon);
}

void
Simulation::ended(const TaskId& id, const std::optional<Problem>& problem)
{
  const auto entry = m_tasks.find(id);
  const Task task = entry->second;
  m_tasks.erase(entry);
  GroupFigures& figures = m_figures.group(task.group);
  if (!problem) {
    answered(task);
  } else if (!task.measured) {
    return;
  } else if (problem->kind() == ProblemKind::Cancelled) {
    ++figures.cancelled;
  } else if (problem->ran() == RunState::NotRun) {
    ++figures.refused;
  } else {
    ++figures.failed;
  }
}

void
Simulation::answered(const Task& task)
{
  GroupFigures& figures = m_figures.group(task.group);
  const bool isLate = task.deadline && m_now > *task.deadline;
  const bool isCounted =
    m_now >= beginning + usefulFrom && m_now < beginning + usefulTo;
  if (!isLate && isCounted) {
    figures.useful +=
      toSeconds(task.runTime) /
      (toSeconds(usefulTo - usefulFrom) * m_deployment.allSlots());
  }
  if (!task.measured) {
    return;
  }
  figures.late += isLate ? 1 : 0;
  const Duration ideal =
    2 * m_deployment.fromClient + 2 * withinZone + task.runTime;
  const Duration response = m_now + m_deployment.fromClient - task.submitted;
  figures.ratios.push_back(toSeconds(response) / toSeconds(ideal));
}

void
Simulation::slowDown(int endpoint, double factor)
{
  m_endpoints[static_cast<std::size_t>(endpoint)].slowness = factor;
}

void
Simulation::failAtOnce(int endpoint)
{
  m_endpoints[static_cast<std::size_t>(endpoint)].failsAtOnce = true;
}

void
Simulation::loseZone(int zone)
{
  if (m_deployment.zones == 1) {
    return;
  }
  for (ModelEndpoint& endpoint : m_endpoints) {
    endpoint.lost = endpoint.lost || endpoint.zone == zone;
  }
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    m_daemons[i].lost = m_daemons[i].lost || m_daemons[i].zone == zone;
  }
  std::vector<TaskId> gone;
  for (const auto& [id, task] : m_tasks) {
    if (m_daemons[static_cast<std::size_t>(task.daemon)].lost) {
      gone.push_back(id);
    }
  }
  for (const TaskId& id : gone) {
    ended(id, Problem(ProblemKind::OwnerGone, RunState::MayHaveRun, ""));
  }
  m_unlistedZones[static_cast<std::size_t>(zone)] = true;
  schedule(m_now + listLag, [=] { listEndpoints(); });
}

void
Simulation::cancel(const std::string& group)
{
  std::map<SubmissionKey, int> keys;
  for (const auto& [id, task] : m_tasks) {
    if (task.group == group) {
      keys[id.key()] = task.daemon;
    }
  }
  for (const auto& [key, daemon] : keys) {
    Dispatcher& dispatcher =
      *m_daemons[static_cast<std::size_t>(daemon)].dispatcher;
    for (const GiveUp& giveUp : dispatcher.cancel(key, m_now)) {
      ended(giveUp.task(), giveUp.problem());
    }
    poll(daemon);
  }
}

Figures
Simulation::run()
{
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    event.action();
  }
  // What never ended counts as failed.
  for (const auto& [id, task] : m_tasks) {
    m_figures.group(task.group).failed += task.measured ? 1 : 0;
  }
  return m_figures;
}

} // namespace cowslippin
