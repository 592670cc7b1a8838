#include "simulation.h"
#include "simulationtimes.h"

#include <algorithm>
#include <type_traits>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// TCP sends bytes again at most this long after a partition has ended.
constexpr unsigned maxRetransmissionMs = 250;

/// Time within which every daemon has read an operator's evacuation at the
/// platform or heard of it from another daemon.
constexpr Duration evacuationLimit = milliseconds(700);

/// Sizes on the wire in bytes, with headers.
constexpr std::size_t orderBytes = 300;
constexpr std::size_t answerBytes = 200;
constexpr std::size_t runBytes = 50;
constexpr std::size_t specBytes = 300;

std::size_t
wireBytes(const StartOrder&)
{
  return orderBytes + specBytes;
}

std::size_t
wireBytes(const StopOrder&)
{
  return orderBytes;
}

std::size_t
wireBytes(const OrderAnswer&)
{
  return answerBytes;
}

std::size_t
wireBytes(const LeaseOrderAnswer& answer)
{
  const auto* report = std::get_if<WorkerReport>(&answer);
  const std::size_t runs =
    report ? report->active.size() + report->ended.size() : 0;
  return answerBytes + runBytes * runs;
}

JobId
jobOfTask(const std::string& task)
{
  return JobId(task.substr(0, task.find('.')));
}

RoutingTable
routing()
{
  Route route;
  route.policy.service = ServiceName("booking");
  return RoutingTable(1, { route });
}

} // namespace

void
Simulation::crashWorker(std::size_t index)
{
  replaceWorker(index);
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    readWorkerList(node);
}

void
Simulation::restartWorker(std::size_t index)
{
  if (m_settings.haveBootTimes)
    startWorker(index, m_workers[index].record.id());
  else
    replaceWorker(index);
  scheduleWorkerListReads();
}

void
Simulation::delayStarts(Duration duration, Duration delay)
{
  m_startsDelayedUntil = m_now + duration;
  m_startDelay = delay;
}

/// Replaces the worker by a new one with a new id. All runs on the old worker
/// are lost.
void
Simulation::replaceWorker(std::size_t index)
{
  startWorker(index, WorkerId("w" + std::to_string(++m_lastWorker)));
}

/// Starts the worker process anew: its clock, its numbers of ended runs and its
/// highest fencing token start from the beginning.
void
Simulation::startWorker(std::size_t index, const WorkerId& id)
{
  Worker& worker = m_workers[index];
  ++worker.incarnation;
  const std::int64_t sinceStart = toMilliseconds(m_now.time_since_epoch());
  const auto clock = static_cast<std::int64_t>(1000 * index);
  const WorkerBootTime bootTime =
    m_settings.haveBootTimes ? WorkerBootTime(initialTimeOfDayMs + sinceStart)
                             : WorkerBootTime();
  worker.fake = std::make_unique<FakeWorker>(clock - sinceStart, bootTime);
  worker.runCpuMillis.clear();
  worker.pendingHolds.clear();
  WorkerRecord::Fields fields;
  fields.id = id;
  fields.bootTime = bootTime;
  fields.service = ServiceName("booking");
  fields.zone = ZoneName("z" + std::to_string(worker.zone));
  fields.capacity = Resources(index % 3 == 2 ? 24000 : 16000, 10000, 0);
  worker.record = WorkerRecord(fields);
}

void
Simulation::setWorkersPerZone(unsigned count)
{
  for (std::size_t index = 0; index < m_workers.size(); ++index) {
    if (m_workers[index].indexInZone >= std::min(count, m_listedPerZone))
      replaceWorker(index);
  }
  m_listedPerZone = count;
  scheduleWorkerListReads();
}

void
Simulation::expireWorkerEntries(unsigned zone, double share, Duration duration)
{
  for (Worker& worker : m_workers) {
    if (worker.zone == zone && randomFraction() < share)
      worker.unlistedUntil = m_now + duration;
  }
  scheduleWorkerListReads();
  schedule(duration, [this] { scheduleWorkerListReads(); });
}

unsigned
Simulation::startedTasks(unsigned zone) const
{
  const auto found = m_startedInZone.find(zone);
  return found == m_startedInZone.end() ? 0 : found->second;
}

bool
Simulation::reachesWorker(std::size_t node, const Worker& worker) const
{
  if (m_nodes[node].zone == worker.zone)
    return true;
  for (const auto& [zone, until] : m_zonePartitionedUntil) {
    if (m_now < until && (m_nodes[node].zone == zone || worker.zone == zone))
      return false;
  }
  return true;
}

Simulation::Worker*
Simulation::findWorker(const WorkerId& id)
{
  for (Worker& worker : m_workers) {
    if (worker.record.id() == id)
      return &worker;
  }
  return nullptr;
}

bool
Simulation::isReplaced(const WorkerId& id)
{
  return !m_settings.haveBootTimes && !findWorker(id);
}

Duration
Simulation::randomLateDelay()
{
  const Duration range = m_settings.maxLateDelay - m_settings.minLateDelay;
  return m_settings.minLateDelay +
         milliseconds(randomBelow(std::size_t(toMilliseconds(range))));
}

void
Simulation::deliverOrder(std::size_t node,
                         const WorkerId& id,
                         Duration delay,
                         const std::function<void()>& arrive)
{
  schedule(delay, [=] {
    const Worker* worker = findWorker(id);
    if (worker && !reachesWorker(node, *worker)) {
      if (m_settings.retransmitsOrders)
        deliverOrder(
          node, id, milliseconds(1 + randomBelow(maxRetransmissionMs)), arrive);
      return;
    }
    arrive();
  });
}

template<class Order, class Answer>
void
Simulation::sendOrder(std::size_t node,
                      const WorkerRecord& record,
                      const Order& order,
                      Duration timeout,
                      std::function<void(const Answer&)> done,
                      std::function<Answer(Worker&, const Order&)> carryOut)
{
  const auto hasAnswer = std::make_shared<bool>(false);
  const unsigned incarnation = m_nodes[node].incarnation;
  charge(node,
         std::is_same_v<Order, StartOrder> ? processortime::startOrder
                                           : processortime::otherOrder);
  const auto answer =
    [this, node, incarnation, hasAnswer, done](const Answer& value) {
      deliver(node, incarnation, [hasAnswer, done, value] {
        if (!std::exchange(*hasAnswer, true))
          done(value);
      });
    };
  schedule(timeout, [this, answer, hasAnswer] {
    if (!hasProcessor() || !*hasAnswer)
      answer(OrderFailure::Unanswered);
  });
  const double draw = randomFraction();
  const double lostShare =
    m_settings.lostOrderShare + m_settings.lostAnswerShare;
  const bool isLost = draw < m_settings.lostOrderShare;
  const bool isAnswerLost = !isLost && draw < lostShare;
  const bool isLate =
    !isLost && !isAnswerLost && draw < lostShare + m_settings.lateOrderShare;
  if (isLost)
    return;
  const bool isDelayed =
    std::is_same_v<Order, StartOrder> && m_now < m_startsDelayedUntil;
  Duration delay =
    isLate ? randomLateDelay() : oneWayDelay + sendTime(node, wireBytes(order));
  if (isDelayed)
    delay = m_startDelay;
  const bool isAnswered =
    !isAnswerLost && !isDelayed && (!isLate || m_settings.retransmitsOrders);
  deliverOrder(node, record.id(), delay, [=] {
    Worker* worker = findWorker(record.id());
    if (!worker && !isReplaced(record.id()))
      return;
    const auto reply = [=](const Answer& value) {
      if (isAnswered)
        schedule(oneWayDelay + receiveTime(node, wireBytes(value)),
                 [answer, value] { answer(value); });
    };
    if constexpr (std::is_same_v<Order, StartOrder>) {
      if (worker && m_settings.maxListingDelay > Duration::zero()) {
        acceptStart(*worker, order, reply);
        return;
      }
    }
    reply(worker ? carryOut(*worker, order) : OrderFailure::OtherIncarnation);
  });
}

/// Checks a start now and carries it out later.
void
Simulation::acceptStart(Worker& worker,
                        const StartOrder& order,
                        const std::function<void(const OrderAnswer&)>& reply)
{
  if (const OrderAnswer refusal = worker.fake->accept(order, m_now)) {
    reply(refusal);
    return;
  }
  const auto range =
    static_cast<std::size_t>(m_settings.maxListingDelay.count());
  schedule(
    Duration(randomBelow(range)),
    [this, id = worker.record.id(), life = worker.incarnation, order, reply] {
      Worker* same = findWorker(id);
      if (!same || same->incarnation != life)
        return;
      same->fake->expireLease(m_now);
      if (same->fake->isStale(order.key)) {
        reply(OrderFailure::StaleRun);
        return;
      }
      beginRun(*same, order);
      reply(std::nullopt);
    });
}

void
Simulation::sendHoldOrder(
  std::size_t node,
  const WorkerRecord& record,
  const LeaseOrder& hold,
  Duration timeout,
  const std::function<void(const LeaseOrderAnswer&)>& done)
{
  const auto isAnswered = std::make_shared<bool>(false);
  const unsigned incarnation = m_nodes[node].incarnation;
  charge(node, processortime::otherOrder);
  const auto answer =
    [this, node, incarnation, isAnswered, done](const LeaseOrderAnswer& value) {
      schedule(oneWayDelay + receiveTime(node, wireBytes(value)), [=] {
        deliver(node, incarnation, [isAnswered, done, value] {
          if (!std::exchange(*isAnswered, true))
            done(value);
        });
      });
    };
  schedule(timeout, [this, answer, isAnswered] {
    if (!hasProcessor() || !*isAnswered)
      answer(OrderFailure::Unanswered);
  });
  if (randomFraction() < m_settings.lostOrderShare + m_settings.lostAnswerShare)
    return;
  Duration delay = oneWayDelay + sendTime(node, orderBytes);
  if (m_settings.retransmitsOrders &&
      randomFraction() < m_settings.lateOrderShare)
    delay = randomLateDelay();
  deliverOrder(node, record.id(), delay, [=] {
    if (isReplaced(record.id()))
      answer(OrderFailure::OtherIncarnation);
    Worker* worker = findWorker(record.id());
    if (!worker)
      return;
    const LeaseOrderAnswer value = worker->fake->hold(hold, m_now);
    const auto* report = std::get_if<WorkerReport>(&value);
    if (!report || !report->ended.empty() || hold.maxWait == Duration::zero()) {
      answer(value);
      return;
    }
    const auto pending =
      std::make_shared<PendingHold>(PendingHold{ hold, answer });
    worker->pendingHolds.push_back(pending);
    schedule(hold.maxWait, [this, id = record.id(), pending] {
      Worker* current = findWorker(id);
      if (!current)
        return;
      auto& all = current->pendingHolds;
      const auto found = std::find(all.begin(), all.end(), pending);
      if (found == all.end())
        return;
      all.erase(found);
      pending->answer(current->fake->hold(pending->order, m_now));
    });
  });
}

EntryCore::Ports
Simulation::ports(std::size_t node)
{
  EntryCore::Ports ports;
  ports.hold = [this, node](const WorkerRecord& record,
                            const LeaseOrder& hold,
                            Duration timeout,
                            auto done) {
    sendHoldOrder(node, record, hold, timeout, std::move(done));
  };
  ports.start = [this, node](const WorkerRecord& record,
                             const StartOrder& start,
                             Duration timeout,
                             auto done) {
    sendOrder<StartOrder, OrderAnswer>(
      node, record, start, timeout, std::move(done), [this](auto& w, auto& o) {
        return carryOutStart(w, o);
      });
  };
  ports.stop = [this, node](const WorkerRecord& record,
                            const StopOrder& stop,
                            Duration timeout,
                            auto done) {
    sendOrder<StopOrder, OrderAnswer>(
      node, record, stop, timeout, std::move(done), [this](auto& w, auto& o) {
        return carryOutStop(w, o);
      });
  };
  ports.publishHolder = [this, node](const ShardId& shard, FencingToken token) {
    PublishedHolder& published = m_publishedHolders[shard];
    published = { m_nodes[node].id, token, published.heartbeats + 1 };
  };
  ports.readConfiguration = [](const std::string&) -> Result<RoutingTable> {
    return routing();
  };
  ports.isConfigurationArriving = [] { return false; };
  ports.workerChangesForwarded = [](const PeerWorkerChanges&) {};
  return ports;
}

OrderAnswer
Simulation::carryOutStart(Worker& worker, const StartOrder& order)
{
  const OrderAnswer answer = worker.fake->accept(order, m_now);
  if (!answer)
    beginRun(worker, order);
  return answer;
}

void
Simulation::beginRun(Worker& worker, const StartOrder& order)
{
  if (worker.fake->isRunning(order.key))
    return;
  worker.fake->list(order.key);
  ++m_startedTasks;
  ++m_startedInZone[worker.zone];
  checkEvacuation(worker, order.key);
  // The specification of a task is "<run time in ms>,<CPU in thousandths of a
  // core>".
  const std::size_t comma = order.spec.find(',');
  const Duration duration = milliseconds(std::stoi(order.spec));
  worker.runCpuMillis[order.key] = std::stoll(order.spec.substr(comma + 1));
  checkStart(worker, order.key);
  const bool fails = m_settings.hasFailures && randomFraction() < 0.01;
  schedule(duration,
           [this,
            id = worker.record.id(),
            incarnation = worker.incarnation,
            key = order.key,
            fails] {
             endRun(
               id, incarnation, key, fails ? RunEnd::Failed : RunEnd::Done);
           });
}

OrderAnswer
Simulation::carryOutStop(Worker& worker, const StopOrder& order)
{
  const OrderAnswer answer = worker.fake->stop(order, m_now);
  answerPendingHolds(worker);
  return answer;
}

void
Simulation::endRun(const WorkerId& id,
                   unsigned incarnation,
                   const RunKey& key,
                   RunEnd end)
{
  Worker* worker = findWorker(id);
  if (!worker || worker->incarnation != incarnation)
    return;
  worker->fake->expireLease(m_now);
  if (worker->fake->isRunning(key))
    worker->fake->end(key, end);
  answerPendingHolds(*worker);
}

void
Simulation::answerPendingHolds(Worker& worker)
{
  for (const auto& pending : std::exchange(worker.pendingHolds, {}))
    pending->answer(worker.fake->hold(pending->order, m_now));
}

void
Simulation::checkStart(const Worker& worker, const RunKey& started)
{
  std::int64_t used = 0;
  for (const RunKey& key : worker.fake->runs())
    used += worker.runCpuMillis.at(key);
  if (used > worker.record.capacity().cpuMillis())
    recordViolation("over capacity at " + worker.record.id().value());
  unsigned runs = 0;
  for (const Worker& other : m_workers) {
    other.fake->expireLease(m_now);
    for (const RunKey& key : other.fake->runs())
      runs += key.task() == started.task() ? 1 : 0;
  }
  if (runs > 1)
    recordViolation("two runs of " + started.task());
  const auto caller = m_callers.find(jobOfTask(started.task()));
  if (caller == m_callers.end())
    return;
  caller->second.hasStarted = true;
  if (caller->second.isRefused)
    recordViolation("a start of the refused " + started.task());
}

void
Simulation::checkEvacuation(const Worker& worker, const RunKey& started)
{
  const auto since = m_evacuatedSince.find(worker.zone);
  if (since == m_evacuatedSince.end() || m_settings.lateOrderShare > 0)
    return;
  if (m_now - since->second > evacuationLimit)
    recordViolation("a start in an evacuated zone, of " + started.task());
}

void
Simulation::tickWorkers()
{
  for (Worker& worker : m_workers) {
    const std::size_t before = worker.fake->runCount();
    worker.fake->expireLease(m_now);
    if (worker.fake->runCount() != before)
      answerPendingHolds(worker);
  }
  schedule(tickInterval, [this] { tickWorkers(); });
}

} // namespace cowslippin::testing
