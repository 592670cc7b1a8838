#include "simulation.h"

#include <algorithm>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

constexpr Duration oneWay = std::chrono::microseconds(700);
constexpr Duration tickInterval = milliseconds(20);
/// How long other daemons take to notice one that has fallen silent.
constexpr Duration silenceLimit = milliseconds(450);
constexpr Duration reconnectInterval = milliseconds(120);
/// When a caller whose connection broke submits again.
constexpr Duration resendAfter = milliseconds(1300);
/// How long after its start a daemon has read the store, and how often it does
/// so later.
constexpr Duration storeRead = milliseconds(15);
constexpr Duration watchfulReads = milliseconds(900);
constexpr Duration laterReads = milliseconds(2000);
/// After an operator's request, daemons have read it or heard of it from
/// another.
constexpr Duration evacuationLimit = milliseconds(700);
constexpr const char* configuration = "1";
/// The time of day at the beginning of the steady clock.
constexpr std::int64_t firstTimeOfDayMs = 1800000000000;

RoutingTable
routing()
{
  Route route;
  route.policy.service = ServiceName("booking");
  return RoutingTable(1, { route });
}

/// Sizes on the wire, with headers.
constexpr std::size_t orderBytes = 300;
constexpr std::size_t answerBytes = 200;
constexpr std::size_t runBytes = 50;
constexpr std::size_t specBytes = 300;
constexpr std::size_t beatBytes = 100;
constexpr std::size_t jobBytes = 700;

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
wireBytes(const HoldAnswer& answer)
{
  const auto* report = std::get_if<HoldReport>(&answer);
  const std::size_t runs =
    report ? report->active.size() + report->ended.size() : 0;
  return answerBytes + runBytes * runs;
}

std::size_t
wireBytes(const PeerMessage& message)
{
  return std::holds_alternative<PeerSubmit>(message) ? jobBytes : beatBytes;
}

JobId
jobOfTask(const std::string& task)
{
  return JobId(task.substr(0, task.find('.')));
}

} // namespace

Simulation::Simulation(Settings settings, std::uint64_t seed)
  : m_settings(settings)
  , m_random(seed)
  , m_listedPerZone(settings.workersPerZone)
{
  for (unsigned zone = 0; zone < m_settings.zones; ++zone) {
    for (unsigned i = 0; i < m_settings.daemonsPerZone; ++i) {
      Node node;
      node.zone = zone;
      node.id = VmId("vm-" + std::to_string(zone) + "-" + std::to_string(i));
      m_nodeOf[node.id] = m_nodes.size();
      m_nodes.push_back(std::move(node));
    }
    for (unsigned i = 0; i < m_settings.workersPerZone; ++i) {
      Worker worker;
      worker.zone = zone;
      worker.position = i;
      m_workers.push_back(std::move(worker));
      crashWorker(m_workers.size() - 1);
    }
  }
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    startNode(node);
  connectDaemons();
  tickWorkers();
  submitLater();
}

Simulation::~Simulation() = default;

void
Simulation::runFor(Duration duration)
{
  const TimePoint end = m_now + duration;
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

void
Simulation::kill(std::size_t daemon, Duration down)
{
  if (!m_nodes[daemon].isAlive)
    return;
  unlinkAll(daemon, oneWay);
  stopNode(daemon);
  at(down, [this, daemon] { startNode(daemon); });
}

void
Simulation::powerOff(std::size_t daemon, Duration down)
{
  if (!m_nodes[daemon].isAlive)
    return;
  unlinkAll(daemon, silenceLimit);
  stopNode(daemon);
  at(down, [this, daemon] { startNode(daemon); });
}

void
Simulation::freeze(std::size_t daemon, Duration duration)
{
  Node& node = m_nodes[daemon];
  if (!node.isAlive || node.isFrozen)
    return;
  node.isFrozen = true;
  at(silenceLimit, [this, daemon, life = node.life] {
    if (m_nodes[daemon].isFrozen && m_nodes[daemon].life == life)
      unlinkAll(daemon, Duration::zero());
  });
  at(duration, [this, daemon, life = node.life] {
    Node& thawed = m_nodes[daemon];
    if (!thawed.isAlive || thawed.life != life)
      return;
    thawed.isFrozen = false;
    for (const Action& action : std::exchange(thawed.waiting, {}))
      action();
  });
}

void
Simulation::leave(std::size_t daemon)
{
  Node& node = m_nodes[daemon];
  if (!node.isAlive || node.isFrozen)
    return;
  node.core->leave([this, daemon] {
    // The process ends after the call that noticed it.
    at(Duration(1), [this, daemon] {
      if (!m_nodes[daemon].isAlive)
        return;
      unlinkAll(daemon, oneWay);
      stopNode(daemon);
      at(milliseconds(300), [this, daemon] { startNode(daemon); });
    });
  });
}

void
Simulation::cutOff(std::size_t daemon, Duration duration)
{
  m_nodes[daemon].cutUntil = m_now + duration;
  at(silenceLimit, [this, daemon] {
    if (m_now < m_nodes[daemon].cutUntil)
      unlinkAll(daemon, Duration::zero());
  });
}

void
Simulation::cutZone(unsigned zone, Duration duration)
{
  m_zoneCutUntil[zone] = m_now + duration;
  at(silenceLimit, [this, zone] {
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
      for (std::size_t b = 0; b < m_nodes.size(); ++b) {
        if (m_nodes[a].zone == zone && m_nodes[b].zone != zone && isCut(a, b))
          unlink(a, b, Duration::zero());
      }
    }
  });
}

void
Simulation::resetLinks()
{
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    unlinkAll(node, oneWay);
}

void
Simulation::crashWorker(std::size_t index)
{
  renew(index);
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    readList(node);
}

void
Simulation::readList(std::size_t node)
{
  onNode(node, m_nodes[node].life, [this, node] {
    m_nodes[node].core->workersRead(list());
  });
}

void
Simulation::restartWorker(std::size_t index)
{
  beginLife(index, m_workers[index].record.id());
  readListsLater();
}

/// The worker loses all that runs there and gets a new id.
void
Simulation::renew(std::size_t index)
{
  beginLife(index, WorkerId("w" + std::to_string(++m_lastWorker)));
}

/// The worker's clock, its count of ends and its tokens begin anew.
void
Simulation::beginLife(std::size_t index, const WorkerId& id)
{
  Worker& worker = m_workers[index];
  ++worker.life;
  const std::int64_t sinceStart = toMilliseconds(m_now.time_since_epoch());
  const auto clock = static_cast<std::int64_t>(1000 * index);
  const WorkerBirth birth(firstTimeOfDayMs + sinceStart);
  worker.fake = std::make_unique<FakeWorker>(clock - sinceStart, birth);
  worker.sizes.clear();
  worker.parked.clear();
  WorkerRecord::Fields fields;
  fields.id = id;
  fields.birth = birth;
  fields.service = ServiceName("booking");
  fields.zone = ZoneName("z" + std::to_string(worker.zone));
  fields.capacity = Resources(index % 3 == 2 ? 24000 : 16000, 10000, 0);
  worker.record = WorkerRecord(fields);
}

void
Simulation::setWorkersPerZone(unsigned count)
{
  for (std::size_t index = 0; index < m_workers.size(); ++index) {
    if (m_workers[index].position >= std::min(count, m_listedPerZone))
      renew(index);
  }
  m_listedPerZone = count;
  readListsLater();
}

void
Simulation::unlist(unsigned zone, double share, Duration duration)
{
  for (Worker& worker : m_workers) {
    if (worker.zone == zone && chance() < share)
      worker.unlistedUntil = m_now + duration;
  }
  readListsLater();
  at(duration, [this] { readListsLater(); });
}

/// Each daemon reads the list of workers at a time of its own.
void
Simulation::readListsLater()
{
  const auto lag = static_cast<std::size_t>(toMilliseconds(m_settings.listLag));
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    at(milliseconds(below(lag)), [this, node] { readList(node); });
}

void
Simulation::evacuate(unsigned zone)
{
  m_evacuations.zones.emplace("z" + std::to_string(zone));
  m_evacuatedSince.emplace(zone, m_now);
  evacuationsChanged();
}

void
Simulation::reopen(unsigned zone)
{
  m_evacuations.zones.erase(ZoneName("z" + std::to_string(zone)));
  m_evacuatedSince.erase(zone);
  evacuationsChanged();
}

void
Simulation::evacuationsChanged()
{
  ++m_evacuations.asOf;
  const auto lag = static_cast<std::size_t>(toMilliseconds(m_settings.listLag));
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    at(milliseconds(below(lag)), [this, node] { readEvacuations(node); });
}

void
Simulation::readEvacuations(std::size_t node)
{
  if (node < m_settings.uninformedDaemons)
    return;
  onNode(node, m_nodes[node].life, [this, node] {
    m_nodes[node].core->evacuationsRead(m_evacuations);
  });
}

unsigned
Simulation::startedTasks(unsigned zone) const
{
  const auto found = m_startedInZone.find(zone);
  return found == m_startedInZone.end() ? 0 : found->second;
}

void
Simulation::killAll(Duration down)
{
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    kill(node, down);
}

void
Simulation::at(Duration delay, Action action)
{
  m_events.push({ m_now + delay, ++m_lastSequence, std::move(action) });
}

void
Simulation::onNode(std::size_t index, unsigned life, const Action& action)
{
  Node& node = m_nodes[index];
  if (!node.isAlive || node.life != life)
    return;
  if (node.isFrozen)
    node.waiting.push_back(
      [this, index, life, action] { onNode(index, life, action); });
  else
    action();
}

void
Simulation::startNode(std::size_t index)
{
  Node& node = m_nodes[index];
  if (node.isAlive)
    return;
  ++node.life;
  node.isAlive = true;
  node.isFrozen = false;
  node.waiting.clear();
  node.knownBeats.clear();
  EntryCore::Settings settings;
  settings.vm = node.id;
  settings.zone = ZoneName("z" + std::to_string(node.zone));
  if (m_settings.isLinkKnown)
    settings.limits.megabitsPerSecond = m_settings.linkMegabits;
  node.core = std::make_unique<EntryCore>(
    settings, ports(index), links(index), clocks(index));
  readEvacuations(index);
  node.core->configurationRead(configuration);
  node.core->workersRead(list());
  at(storeRead, [this, index, life = node.life] { readHolders(index, life); });
  tickNode(index, node.life);
}

/// At the start, and as often as the daemon asks for it, it reads who holds
/// what at the platform.
void
Simulation::readHolders(std::size_t index, unsigned life)
{
  if (!m_nodes[index].isAlive || m_nodes[index].life != life)
    return;
  onNode(index, life, [this, index] {
    Node& node = m_nodes[index];
    FencingToken highest = 0;
    for (const auto& [shard, published] : m_published) {
      highest = std::max(highest, published.token);
      node.core->lastHolderRead(shard, published.holder);
      unsigned& known = node.knownBeats[shard];
      if (known != 0 && known != published.beats)
        node.core->holderRead(shard, published.holder);
      known = published.beats;
    }
    node.core->holdersRead(highest);
  });
  const bool isWatchful = m_nodes[index].core->needsHolderReads();
  at(isWatchful ? watchfulReads : laterReads,
     [this, index, life] { readHolders(index, life); });
}

void
Simulation::tickNode(std::size_t index, unsigned life)
{
  if (!m_nodes[index].isAlive || m_nodes[index].life != life)
    return;
  onNode(index, life, [this, index, life] {
    m_nodes[index].core->tick();
    at(tickInterval, [this, index, life] { tickNode(index, life); });
  });
}

EntryCore::Ports
Simulation::ports(std::size_t node)
{
  EntryCore::Ports ports;
  ports.hold = [this, node](const WorkerRecord& record,
                            const HoldOrder& hold,
                            Duration timeout,
                            auto done) {
    holdOrder(node, record, hold, timeout, std::move(done));
  };
  ports.start = [this, node](const WorkerRecord& record,
                             const StartOrder& start,
                             Duration timeout,
                             auto done) {
    order<StartOrder, OrderAnswer>(
      node, record, start, timeout, std::move(done), [this](auto& w, auto& o) {
        return carryOutStart(w, o);
      });
  };
  ports.stop = [this, node](const WorkerRecord& record,
                            const StopOrder& stop,
                            Duration timeout,
                            auto done) {
    order<StopOrder, OrderAnswer>(
      node, record, stop, timeout, std::move(done), [this](auto& w, auto& o) {
        return carryOutStop(w, o);
      });
  };
  ports.publishHolder = [this, node](const ShardId& shard, FencingToken token) {
    PublishedHolder& published = m_published[shard];
    published = { m_nodes[node].id, token, published.beats + 1 };
  };
  ports.readConfiguration = [](const std::string&) -> Result<RoutingTable> {
    return routing();
  };
  ports.isConfigurationArriving = [] { return false; };
  ports.workerNews = [](const PeerWorkerNews&) {};
  return ports;
}

EntryCore::Links
Simulation::links(std::size_t node)
{
  EntryCore::Links links;
  links.send = [this, node](const VmId& vm, const PeerMessage& message) {
    const auto found = m_nodeOf.find(vm);
    if (found != m_nodeOf.end()) {
      const std::size_t other = found->second;
      if (!areLinked(node, other))
        return false;
      const VmId from = m_nodes[node].id;
      const unsigned life = m_nodes[other].life;
      if (std::holds_alternative<PeerBeat>(message))
        ++m_nodes[node].beats;
      const std::size_t bytes = wireBytes(message);
      const Duration delay =
        oneWay + sendTime(node, bytes) + receiveTime(other, bytes);
      if (!isCut(node, other))
        at(delay, [this, node, other, life, from, message] {
          onNode(other, life, [this, node, other, from, message] {
            if (areLinked(node, other))
              m_nodes[other].core->received(from, message);
          });
        });
      return true;
    }
    return false;
  };
  links.sendToEach = [send = links.send](const std::vector<VmId>& vms,
                                         const PeerMessage& message) {
    for (const VmId& vm : vms)
      send(vm, message);
  };
  links.setClose = [](const VmId&, bool) {};
  links.isUp = [this, node](const VmId& vm) {
    const auto found = m_nodeOf.find(vm);
    return found != m_nodeOf.end() && areLinked(node, found->second);
  };
  links.up = [this, node] {
    std::set<VmId> up;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
      if (areLinked(node, other))
        up.insert(m_nodes[other].id);
    }
    return up;
  };
  links.knownCount = [this] { return m_nodes.size() - 1; };
  links.dropAll = [this, node] {
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
      if (!areLinked(node, other))
        continue;
      unlink(other, node, oneWay);
      m_nodes[node].core->peerDown(m_nodes[other].id, PeerLoss::Closed);
    }
  };
  links.post = [this, node, life = m_nodes[node].life](const Action& action) {
    at(Duration::zero(),
       [this, node, life, action] { onNode(node, life, action); });
  };
  return links;
}

EntryCore::Clocks
Simulation::clocks(std::size_t node)
{
  EntryCore::Clocks clocks;
  clocks.steady = [this] { return m_now; };
  clocks.sinceBoot = [this] { return m_now.time_since_epoch(); };
  clocks.timeOfDay = [this] {
    return firstTimeOfDayMs + toMilliseconds(m_now.time_since_epoch());
  };
  clocks.processNumber = node * 100 + m_nodes[node].life;
  return clocks;
}

bool
Simulation::areLinked(std::size_t a, std::size_t b) const
{
  return m_links.count(std::minmax(a, b)) > 0;
}

bool
Simulation::isCut(std::size_t a, std::size_t b) const
{
  if (m_now < m_nodes[a].cutUntil || m_now < m_nodes[b].cutUntil)
    return true;
  if (m_nodes[a].zone == m_nodes[b].zone)
    return false;
  for (const auto& [zone, until] : m_zoneCutUntil) {
    if (m_now < until && (m_nodes[a].zone == zone || m_nodes[b].zone == zone))
      return true;
  }
  return false;
}

bool
Simulation::reachesWorker(std::size_t node, const Worker& worker) const
{
  if (m_nodes[node].zone == worker.zone)
    return true;
  for (const auto& [zone, until] : m_zoneCutUntil) {
    if (m_now < until && (m_nodes[node].zone == zone || worker.zone == zone))
      return false;
  }
  return true;
}

/// Ends a connection; each side that lives is told after `noticed`.
void
Simulation::unlink(std::size_t a, std::size_t b, Duration noticed)
{
  const std::pair<std::size_t, std::size_t> key = std::minmax(a, b);
  if (m_links.count(key) == 0)
    return;
  // What is noticed at once or late was silence.
  const PeerLoss loss = noticed == oneWay ? PeerLoss::Closed : PeerLoss::Silent;
  const auto tell = [this, loss](std::size_t node, std::size_t other) {
    onNode(node, m_nodes[node].life, [this, node, other, loss] {
      m_nodes[node].core->peerDown(m_nodes[other].id, loss);
    });
  };
  if (noticed == Duration::zero()) {
    m_links.erase(key);
    tell(a, b);
    tell(b, a);
    return;
  }
  const unsigned lifeA = m_nodes[a].life;
  const unsigned lifeB = m_nodes[b].life;
  at(noticed, [this, a, b, lifeA, lifeB, key, tell] {
    if (m_links.erase(key) == 0)
      return;
    if (m_nodes[a].life == lifeA)
      tell(a, b);
    if (m_nodes[b].life == lifeB)
      tell(b, a);
  });
}

void
Simulation::unlinkAll(std::size_t node, Duration noticed)
{
  for (std::size_t other = 0; other < m_nodes.size(); ++other) {
    if (other != node)
      unlink(node, other, noticed);
  }
}

void
Simulation::connectDaemons()
{
  for (std::size_t a = 0; a < m_nodes.size(); ++a) {
    for (std::size_t b = a + 1; b < m_nodes.size(); ++b) {
      const bool canLink = m_nodes[a].isAlive && m_nodes[b].isAlive &&
                           !m_nodes[a].isFrozen && !m_nodes[b].isFrozen &&
                           !isCut(a, b) && !areLinked(a, b);
      if (!canLink)
        continue;
      m_links.emplace(a, b);
      const auto tell = [this](std::size_t node, std::size_t other) {
        PeerHello hello;
        hello.vm = m_nodes[other].id;
        hello.zone = ZoneName("z" + std::to_string(m_nodes[other].zone));
        m_nodes[node].core->peerUp(hello);
      };
      tell(a, b);
      tell(b, a);
    }
  }
  at(reconnectInterval, [this] { connectDaemons(); });
}

void
Simulation::stopNode(std::size_t node)
{
  m_nodes[node].isAlive = false;
  m_nodes[node].isFrozen = false;
  m_nodes[node].waiting.clear();
  callerBroken(node);
}

Duration
Simulation::transit(TimePoint& busyUntil, std::size_t bytes) const
{
  if (m_settings.linkMegabits == 0)
    return Duration::zero();
  const double microseconds = double(bytes) * 8 / m_settings.linkMegabits;
  busyUntil = std::max(busyUntil, m_now) + Duration(std::int64_t(microseconds));
  return busyUntil - m_now;
}

Duration
Simulation::sendTime(std::size_t node, std::size_t bytes)
{
  return transit(m_nodes[node].sendsUntil, bytes);
}

Duration
Simulation::receiveTime(std::size_t node, std::size_t bytes)
{
  return transit(m_nodes[node].receivesUntil, bytes);
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

template<class Order, class Answer>
void
Simulation::order(std::size_t node,
                  const WorkerRecord& record,
                  const Order& order,
                  Duration timeout,
                  std::function<void(const Answer&)> done,
                  std::function<Answer(Worker&, const Order&)> carryOut)
{
  const auto isAnswered = std::make_shared<bool>(false);
  const unsigned life = m_nodes[node].life;
  const auto answer =
    [this, node, life, isAnswered, done](const Answer& value) {
      onNode(node, life, [isAnswered, done, value] {
        if (!std::exchange(*isAnswered, true))
          done(value);
      });
    };
  at(timeout, [answer] { answer(OrderFailure::Unanswered); });
  const double fate = chance();
  const double answerLost = m_settings.lostOrders + m_settings.lostAnswers;
  const bool isLost = fate < m_settings.lostOrders;
  const bool isAnswerLost = !isLost && fate < answerLost;
  const bool isLate =
    !isLost && !isAnswerLost && fate < answerLost + m_settings.lateOrders;
  if (isLost)
    return;
  const Duration delay = isLate ? milliseconds(2000 + below(10000))
                                : oneWay + sendTime(node, wireBytes(order));
  at(delay, [=] {
    Worker* worker = findWorker(record.id());
    if (!worker || !reachesWorker(node, *worker))
      return;
    const Answer value = carryOut(*worker, order);
    if (!isAnswerLost && !isLate)
      at(oneWay + receiveTime(node, wireBytes(value)),
         [answer, value] { answer(value); });
  });
}

void
Simulation::holdOrder(std::size_t node,
                      const WorkerRecord& record,
                      const HoldOrder& hold,
                      Duration timeout,
                      const std::function<void(const HoldAnswer&)>& done)
{
  const auto isAnswered = std::make_shared<bool>(false);
  const unsigned life = m_nodes[node].life;
  const auto answer =
    [this, node, life, isAnswered, done](const HoldAnswer& value) {
      at(oneWay + receiveTime(node, wireBytes(value)), [=] {
        onNode(node, life, [isAnswered, done, value] {
          if (!std::exchange(*isAnswered, true))
            done(value);
        });
      });
    };
  at(timeout, [answer] { answer(OrderFailure::Unanswered); });
  if (chance() < m_settings.lostOrders + m_settings.lostAnswers)
    return;
  at(oneWay + sendTime(node, orderBytes), [=] {
    Worker* worker = findWorker(record.id());
    if (!worker || !reachesWorker(node, *worker))
      return;
    const HoldAnswer value = worker->fake->hold(hold, m_now);
    const auto* report = std::get_if<HoldReport>(&value);
    if (!report || !report->ended.empty() || hold.wait == Duration::zero()) {
      answer(value);
      return;
    }
    const auto parked =
      std::make_shared<ParkedHold>(ParkedHold{ hold, answer });
    worker->parked.push_back(parked);
    at(hold.wait, [this, id = record.id(), parked] {
      Worker* waited = findWorker(id);
      if (!waited)
        return;
      auto& all = waited->parked;
      const auto found = std::find(all.begin(), all.end(), parked);
      if (found == all.end())
        return;
      all.erase(found);
      parked->answer(waited->fake->hold(parked->order, m_now));
    });
  });
}

OrderAnswer
Simulation::carryOutStart(Worker& worker, const StartOrder& order)
{
  const bool wasRunning = worker.fake->isRunning(order.key);
  const OrderAnswer answer = worker.fake->start(order, m_now);
  if (answer || wasRunning)
    return answer;
  ++m_startedTasks;
  ++m_startedInZone[worker.zone];
  checkEvacuation(worker, order.key);
  // The specification of a task is its run time and its size.
  const std::size_t comma = order.spec.find(',');
  const Duration duration = milliseconds(std::stoi(order.spec));
  worker.sizes[order.key] = std::stoll(order.spec.substr(comma + 1));
  checkWorker(worker, order.key);
  const bool fails = m_settings.hasFailures && chance() < 0.01;
  at(duration,
     [this,
      id = worker.record.id(),
      life = worker.life,
      key = order.key,
      fails] { endRun(id, life, key, fails ? RunEnd::Failed : RunEnd::Done); });
  return answer;
}

OrderAnswer
Simulation::carryOutStop(Worker& worker, const StopOrder& order)
{
  const OrderAnswer answer = worker.fake->stop(order, m_now);
  answerParked(worker);
  return answer;
}

void
Simulation::endRun(const WorkerId& id,
                   unsigned life,
                   const RunKey& key,
                   RunEnd end)
{
  Worker* worker = findWorker(id);
  if (!worker || worker->life != life)
    return;
  worker->fake->lapse(m_now);
  if (worker->fake->isRunning(key))
    worker->fake->end(key, end);
  answerParked(*worker);
}

void
Simulation::answerParked(Worker& worker)
{
  for (const auto& parked : std::exchange(worker.parked, {}))
    parked->answer(worker.fake->hold(parked->order, m_now));
}

void
Simulation::checkWorker(const Worker& worker, const RunKey& started)
{
  std::int64_t used = 0;
  for (const RunKey& key : worker.fake->runs())
    used += worker.sizes.at(key);
  if (used > worker.record.capacity().cpuMillis())
    violated("over capacity at " + worker.record.id().value());
  unsigned runs = 0;
  for (const Worker& other : m_workers) {
    other.fake->lapse(m_now);
    for (const RunKey& key : other.fake->runs())
      runs += key.task() == started.task() ? 1 : 0;
  }
  if (runs > 1)
    violated("two runs of " + started.task());
  const auto caller = m_callers.find(jobOfTask(started.task()));
  if (caller == m_callers.end())
    return;
  caller->second.hasStarted = true;
  if (caller->second.isRefused)
    violated("a start of the refused " + started.task());
}

void
Simulation::checkEvacuation(const Worker& worker, const RunKey& started)
{
  const auto since = m_evacuatedSince.find(worker.zone);
  if (since == m_evacuatedSince.end() || m_settings.lateOrders > 0)
    return;
  if (m_now - since->second > evacuationLimit)
    violated("a start in an evacuated zone, of " + started.task());
}

void
Simulation::tickWorkers()
{
  for (Worker& worker : m_workers) {
    const std::size_t before = worker.fake->runCount();
    worker.fake->lapse(m_now);
    if (worker.fake->runCount() != before)
      answerParked(worker);
  }
  at(tickInterval, [this] { tickWorkers(); });
}

void
Simulation::submitLater()
{
  const double seconds =
    std::exponential_distribution<>(m_settings.jobsPerSecond)(m_random);
  at(Duration(std::int64_t(seconds * 1e6)), [this] {
    submitNew();
    submitLater();
  });
}

void
Simulation::submitNew()
{
  const JobId job("job" + std::to_string(++m_lastJob));
  const unsigned taskMs = below(5) == 0 ? 500 + below(900) : 40 + below(160);
  const std::int64_t cpu = 5000 + std::int64_t(below(4000));
  Caller caller;
  caller.submission.job = job;
  caller.submission.policy.queue = taskMs < 300 ? "short" : "long";
  caller.submission.policy.service = ServiceName("booking");
  caller.submission.policy.maxAttempts = 3;
  caller.submission.policy.stretch = 1.6;
  caller.submission.policy.target = milliseconds(60);
  caller.submission.needs.resources = Resources(cpu, 10, 0);
  caller.submission.needs.estimate = milliseconds(taskMs);
  caller.submission.spec = std::to_string(taskMs) + "," + std::to_string(cpu);
  caller.submission.taskPrefix = job.value() + ".0.0.";
  caller.submission.taskCount = 1 + static_cast<unsigned>(below(6));
  caller.submission.timeLeft = milliseconds(5 * (2 * taskMs + 60));
  m_callers[job] = caller;
  ++m_submitted;
  submit(job, below(m_nodes.size()));
}

void
Simulation::submit(const JobId& job, std::size_t daemon)
{
  Caller& caller = m_callers.at(job);
  for (std::size_t tried = 0; !m_nodes[daemon].isAlive; ++tried) {
    if (tried == m_nodes.size()) {
      m_callers.erase(job);
      ++m_unknown;
      return;
    }
    daemon = (daemon + 1) % m_nodes.size();
  }
  caller.daemon = daemon;
  caller.daemonLife = m_nodes[daemon].life;
  caller.isWaiting = true;
  onNode(daemon, caller.daemonLife, [this, job, daemon] {
    const auto found = m_callers.find(job);
    if (found == m_callers.end() || found->second.daemon != daemon)
      return;
    found->second.ticket = m_nodes[daemon].core->submit(
      found->second.submission, [this, job](const JobAnswer& answer) {
        at(oneWay, [this, job, answer] { answered(job, answer); });
      });
  });
}

/// The callers of a daemon that has ended submit again elsewhere.
void
Simulation::callerBroken(std::size_t daemon)
{
  for (auto& [job, caller] : m_callers) {
    if (!caller.isWaiting || caller.daemon != daemon)
      continue;
    caller.isWaiting = false;
    caller.wasAlwaysRefused = false;
    at(resendAfter, [this, job = job] {
      if (m_callers.count(job) > 0)
        submit(job, below(m_nodes.size()));
    });
  }
}

void
Simulation::answered(const JobId& job, const JobAnswer& answer)
{
  const auto found = m_callers.find(job);
  if (found == m_callers.end() || !found->second.isWaiting)
    return;
  Caller& caller = found->second;
  caller.isWaiting = false;
  switch (answer.kind) {
    case JobAnswer::Kind::Completed:
      ++m_completed;
      m_callers.erase(found);
      return;
    case JobAnswer::Kind::Failed:
      ++m_failed;
      m_callers.erase(found);
      return;
    case JobAnswer::Kind::NotRun:
      ++m_refused;
      caller.isRefused = caller.wasAlwaysRefused;
      if (caller.wasAlwaysRefused && caller.hasStarted)
        violated("refused though it had run: " + job.value());
      return;
    case JobAnswer::Kind::Unknown:
      ++m_unknown;
      m_callers.erase(found);
      return;
  }
}

unsigned
Simulation::waitingCallers() const
{
  return static_cast<unsigned>(
    std::count_if(m_callers.begin(), m_callers.end(), [](const auto& item) {
      return item.second.isWaiting;
    }));
}

WorkerList
Simulation::list() const
{
  WorkerList all;
  for (const Worker& worker : m_workers) {
    if (worker.fake && worker.position < m_listedPerZone &&
        m_now >= worker.unlistedUntil)
      all[worker.record.id()] = worker.record;
  }
  return all;
}

void
Simulation::violated(const std::string& what)
{
  const auto ms =
    std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
  m_violations.push_back(std::to_string(ms) + " ms: " + what);
}

} // namespace cowslippin::testing
