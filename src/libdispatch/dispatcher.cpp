#include "dispatcher.h"

#include <algorithm>

namespace cowslippin {

namespace {

const std::vector<std::uint64_t> noneTried;

ZoneSet
allZones()
{
  return ZoneSet().set();
}

double
relativeTime(const TaskRecord& task, Duration runTime)
{
  const double learned =
    static_cast<double>(task.templateRecord->runTime.mean().count());
  return static_cast<double>(runTime.count()) / std::max(1.0, learned);
}

} // namespace

Dispatcher::Dispatcher(const DispatchSettings& settings, std::uint64_t seed)
  : m_settings(settings)
  , m_random(seed)
  , m_admission(m_settings)
  , m_retryBudget(settings.retryRatio, settings.retryBurst)
{
}

void
Dispatcher::setEndpoints(const std::vector<Endpoint>& endpoints,
                         const ZoneName& self,
                         TimePoint /*now*/)
{
  if (m_listKnown && m_list == endpoints && m_selfZone == self) {
    return;
  }
  m_listKnown = true;
  m_list = endpoints;
  m_selfZone = self;
  for (auto& [id, record] : m_endpoints) {
    record->listed = false;
  }
  for (const Endpoint& endpoint : endpoints) {
    endpointRecord(endpoint);
    serviceRecord(endpoint.service());
  }
  dropUnlistedEndpoints();
  rebuildPools();
}

void
Dispatcher::setDaemons(const std::vector<VirtualMachine>& vms,
                       const VmId& self,
                       TimePoint /*now*/)
{
  if (m_vms == vms && m_self == self) {
    return;
  }
  m_vms = vms;
  m_self = self;
  rebuildPools();
}

void
Dispatcher::rebuildPools()
{
  std::unordered_map<ServiceName, std::vector<EndpointRecord*>> members;
  for (auto& [id, record] : m_endpoints) {
    if (record->listed) {
      members[record->endpoint.service()].push_back(record.get());
    }
  }
  const std::size_t ownZone = m_zones.number(m_selfZone);
  for (ServiceRecord* service : m_serviceOrder) {
    std::vector<EndpointRecord*>& records = members[service->name];
    // The same order everywhere and always, whatever the hash table's.
    std::sort(records.begin(), records.end(), [](auto* a, auto* b) {
      return a->endpoint.id() < b->endpoint.id();
    });
    dealSlots(records);
    std::vector<std::size_t> zones;
    zones.reserve(records.size());
    for (const EndpointRecord* record : records) {
      zones.push_back(m_zones.number(record->endpoint.zone()));
    }
    service->pool.rebuild(records, zones, ownZone);
  }
}

void
Dispatcher::dealSlots(const std::vector<EndpointRecord*>& records) const
{
  if (m_self.isEmpty()) {
    for (EndpointRecord* record : records) {
      record->dealt = record->endpoint.slots();
    }
    return;
  }
  std::vector<const Endpoint*> endpoints;
  endpoints.reserve(records.size());
  for (const EndpointRecord* record : records) {
    endpoints.push_back(&record->endpoint);
  }
  const SlotDealer dealer(m_vms, m_self, m_selfZone);
  const std::vector<int> dealt = dealer.deal(endpoints);
  for (std::size_t i = 0; i < records.size(); ++i) {
    records[i]->dealt = dealt[i];
  }
}

EndpointRecord&
Dispatcher::endpointRecord(const Endpoint& endpoint)
{
  std::unique_ptr<EndpointRecord>& record = m_endpoints[endpoint.id()];
  const bool isSame = record &&
                      record->endpoint.service() == endpoint.service() &&
                      record->endpoint.address() == endpoint.address();
  if (isSame) {
    record->endpoint = endpoint;
    record->listed = true;
    return *record;
  }
  if (record) {
    record->listed = false;
    m_replaced.push_back(std::move(record));
  }
  record = std::make_unique<EndpointRecord>(endpoint, ++m_lastSerial);
  return *record;
}

void
Dispatcher::dropUnlistedEndpoints()
{
  for (auto entry = m_endpoints.begin(); entry != m_endpoints.end();) {
    // One with attempts in flight may be listed again.
    const bool isGone = !entry->second->listed && entry->second->inFlight == 0;
    entry = isGone ? m_endpoints.erase(entry) : std::next(entry);
  }
  const auto isIdle = [](const std::unique_ptr<EndpointRecord>& record) {
    return record->inFlight == 0;
  };
  m_replaced.erase(std::remove_if(m_replaced.begin(), m_replaced.end(), isIdle),
                   m_replaced.end());
}

void
Dispatcher::setOrganisation(const OrganisationName& name,
                            const OrganisationShare& share,
                            TimePoint /*now*/)
{
  OrganisationRecord& organisation = organisationRecord(name);
  organisation.share = share;
  for (Lane* lane : organisation.lanes) {
    lane->queue().recountWeights();
    lane->queue().update(*lane);
  }
}

OrganisationRecord&
Dispatcher::organisationRecord(const OrganisationName& name)
{
  std::unique_ptr<OrganisationRecord>& record = m_organisations[name];
  if (!record) {
    record = std::make_unique<OrganisationRecord>();
    record->name = name;
  }
  return *record;
}

ServiceRecord&
Dispatcher::serviceRecord(const ServiceName& name)
{
  std::unique_ptr<ServiceRecord>& record = m_services[name];
  if (!record) {
    record = std::make_unique<ServiceRecord>(m_settings, m_random);
    record->name = name;
    m_serviceOrder.push_back(record.get());
  }
  return *record;
}

TemplateRecord&
Dispatcher::templateRecord(const TaskSpec& task)
{
  const auto found = m_templates.find(task.templateName());
  if (found != m_templates.end()) {
    return found->second;
  }
  TemplateRecord created{ RunTimeEstimate(task.declaredRunTime()) };
  return m_templates.emplace(task.templateName(), created).first->second;
}

std::optional<Problem>
Dispatcher::submit(const TaskSpec& spec, TimePoint now)
{
  Submission& submission = m_submissions[spec.id().key()];
  const auto [entry, isNew] = submission.try_emplace(spec.id().index(), spec);
  if (!isNew) {
    return Problem(ProblemKind::KeyReused,
                   RunState::MayHaveRun,
                   "The task with this id has not ended.");
  }
  TaskRecord& task = entry->second;
  ServiceRecord& service = serviceRecord(spec.service());
  OrganisationRecord& organisation = organisationRecord(spec.organisation());
  task.urgency = spec.urgency().value_or(organisation.share.urgency());
  task.arrival = now;
  task.templateRecord = &templateRecord(spec);
  task.lane =
    &service.queue.lane(organisation, m_zones.select(spec.allowedZones()));
  const Admission::State state{ m_listKnown, m_counts.queued };
  std::optional<Problem> refusal =
    m_admission.refusal(task, service, *task.lane, state, now);
  if (refusal) {
    ++m_counts.refused;
    remove(spec.id());
    return refusal;
  }
  ++m_counts.submitted;
  enqueue(task);
  return std::nullopt;
}

std::optional<Problem>
Dispatcher::submitAll(const std::vector<TaskSpec>& tasks, TimePoint now)
{
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    std::optional<Problem> refusal = submit(tasks[i], now);
    if (!refusal) {
      continue;
    }
    for (std::size_t taken = 0; taken < i; ++taken) {
      const TaskId& id = tasks[taken].id();
      dequeue(m_submissions[id.key()].at(id.index()));
      remove(id);
    }
    m_counts.submitted -= i;
    m_counts.refused += i;
    return refusal;
  }
  return std::nullopt;
}

void
Dispatcher::enqueue(TaskRecord& task)
{
  ++m_counts.queued;
  task.lane->queue().pushBack(*task.lane, task);
  if (task.spec.deadline()) {
    m_deadlines.insert(task);
  }
}

void
Dispatcher::enqueueAgain(TaskRecord& task)
{
  ++m_counts.queued;
  task.lane->queue().pushFront(*task.lane, task);
  if (task.spec.deadline()) {
    m_deadlines.insert(task);
  }
}

void
Dispatcher::dequeue(TaskRecord& task)
{
  --m_counts.queued;
  task.lane->queue().remove(task);
  if (task.deadlineHook.is_linked()) {
    m_deadlines.erase(m_deadlines.iterator_to(task));
  }
}

void
Dispatcher::remove(const TaskId& id)
{
  const auto submission = m_submissions.find(id.key());
  if (submission->second.size() == 1) {
    m_submissions.erase(submission);
    return;
  }
  submission->second.erase(id.index());
}

void
Dispatcher::giveUp(TaskRecord& task, Problem problem, DispatchActions& actions)
{
  const TaskId id = task.spec.id();
  dequeue(task);
  remove(id);
  ++m_counts.ended;
  actions.emplace_back(GiveUp(id, std::move(problem)));
}

DispatchActions
Dispatcher::poll(TimePoint now)
{
  DispatchActions actions;
  m_polledAt = now;
  expireDeadlines(now, actions);
  for (ServiceRecord* service : m_serviceOrder) {
    if (service->queue.size() > 0) {
      giveUpUnusable(*service, now, actions);
      service->pool.lendSilent(now);
      startTasks(*service, now, actions);
    }
  }
  return actions;
}

void
Dispatcher::expireDeadlines(TimePoint now, DispatchActions& actions)
{
  while (!m_deadlines.empty() && *m_deadlines.begin()->spec.deadline() <= now) {
    TaskRecord& task = *m_deadlines.begin();
    giveUp(task,
           Problem(ProblemKind::DeadlineExceeded,
                   task.ran(),
                   "The deadline passed while the task waited."),
           actions);
  }
}

void
Dispatcher::giveUpUnusable(ServiceRecord& service,
                           TimePoint now,
                           DispatchActions& actions)
{
  service.unusableSince.resize(service.queue.groupCount());
  for (std::size_t group = 0; group < service.queue.groupCount(); ++group) {
    std::optional<TimePoint>& since = service.unusableSince[group];
    const bool isUsable = service.pool.liveIn(service.queue.zonesOf(group)) > 0;
    if (isUsable || service.queue.sizeOf(group) == 0) {
      since.reset();
      continue;
    }
    since = since.value_or(now);
    if (now - *since < m_settings.noEndpointPatience) {
      continue;
    }
    for (Lane* lane : service.queue.waitingLanes(group)) {
      while (!lane->isEmpty()) {
        TaskRecord& task = lane->head();
        const Problem problem(ProblemKind::NoEndpoint,
                              task.ran(),
                              "Every endpoint that it could use has left.");
        giveUp(task,
               problem.withRetryAfter(
                 m_admission.boundedRetryAfter(m_settings.noEndpointPatience)),
               actions);
      }
    }
  }
}

void
Dispatcher::startTasks(ServiceRecord& service,
                       TimePoint now,
                       DispatchActions& actions)
{
  m_blockedGroups.assign(service.queue.groupCount(), false);
  m_parked.clear();
  while (Lane* lane = nextLane(service)) {
    TaskRecord& task = lane->head();
    const bool hasBacklog = static_cast<int>(service.queue.size()) >
                            service.pool.dealtIn(lane->zones());
    const EndpointPool::Request request{
      lane->zones(), task.spec.isRepeatable(), task.tried, hasBacklog
    };
    EndpointRecord* endpoint = service.pool.choose(request, now);
    if (endpoint != nullptr) {
      start(task, *endpoint, now, actions);
    } else if (!task.tried.empty() && service.pool.hasRoom(lane->zones())) {
      // Only this task has to wait: it was at the free ones before.
      service.queue.park(*lane);
      m_parked.push_back(lane);
    } else {
      m_blockedGroups[lane->group()] = true;
    }
  }
  for (Lane* lane : m_parked) {
    service.queue.update(*lane);
  }
}

Lane*
Dispatcher::nextLane(const ServiceRecord& service) const
{
  Lane* next = nullptr;
  for (std::size_t group = 0; group < m_blockedGroups.size(); ++group) {
    if (m_blockedGroups[group]) {
      continue;
    }
    Lane* candidate = service.queue.next(group);
    if (candidate != nullptr &&
        (next == nullptr || candidate->tag < next->tag)) {
      next = candidate;
    }
  }
  return next;
}

void
Dispatcher::start(TaskRecord& task,
                  EndpointRecord& endpoint,
                  TimePoint now,
                  DispatchActions& actions)
{
  OrganisationRecord& organisation = task.lane->organisation();
  ServiceRecord& service = serviceRecord(task.spec.service());
  ++organisation.inFlight;
  ++task.templateRecord->inFlight;
  --m_counts.queued;
  task.lane->queue().take(task, task.templateRecord->runTime.mean());
  if (task.deadlineHook.is_linked()) {
    m_deadlines.erase(m_deadlines.iterator_to(task));
  }
  service.drainRate.started(now, service.queue.size() > 0);
  task.isProbe = endpoint.health.isEjected();
  task.endpoint = &endpoint;
  ++task.attempts;
  service.pool.started(endpoint, task.isProbe);
  if (task.attempts == 1) {
    m_retryBudget.earn();
  } else {
    ++m_counts.retries;
  }
  ++m_counts.starts;
  ++m_counts.inFlight;
  if (!organisation.mayStart()) {
    for (Lane* lane : organisation.lanes) {
      lane->queue().update(*lane);
    }
  }
  actions.emplace_back(
    Start(task.spec.id(), endpoint.endpoint.id(), task.attempts));
}

FinishResult
Dispatcher::finished(const TaskId& id,
                     const AttemptReport& report,
                     TimePoint now)
{
  TaskRecord* task = findInFlight(id, report);
  if (task == nullptr) {
    return FinishResult(FinishKind::NotInFlight);
  }
  release(*task, report, now);
  return afterAttempt(*task, report.end, now);
}

TaskRecord*
Dispatcher::findInFlight(const TaskId& id, const AttemptReport& report)
{
  const auto submission = m_submissions.find(id.key());
  if (submission == m_submissions.end()) {
    return nullptr;
  }
  const auto entry = submission->second.find(id.index());
  if (entry == submission->second.end()) {
    return nullptr;
  }
  TaskRecord& task = entry->second;
  const bool isThis = task.endpoint != nullptr &&
                      task.attempts == report.attempt &&
                      task.endpoint->endpoint.id() == report.endpoint;
  return isThis ? &task : nullptr;
}

void
Dispatcher::release(TaskRecord& task,
                    const AttemptReport& report,
                    TimePoint now)
{
  const bool answered = report.end == AttemptEnd::Answered;
  ServiceRecord& service = serviceRecord(task.spec.service());
  const double relative = relativeTime(task, report.runTime);
  if (answered) {
    task.templateRecord->runTime.record(report.runTime);
    service.typicalRunTime.record(report.runTime);
    service.pool.setTypicalRunTime(service.typicalRunTime.mean());
  }
  service.pool.ended(*task.endpoint, task.isProbe, report, relative, now);
  task.tried.push_back(task.endpoint->serial);
  task.endpoint = nullptr;
  --task.templateRecord->inFlight;
  --m_counts.inFlight;
  OrganisationRecord& organisation = task.lane->organisation();
  --organisation.inFlight;
  for (Lane* lane : organisation.lanes) {
    lane->queue().update(*lane);
  }
}

FinishResult
Dispatcher::afterAttempt(TaskRecord& task, AttemptEnd attemptEnd, TimePoint now)
{
  task.anyFailed = task.anyFailed || attemptEnd == AttemptEnd::Failed;
  task.anyUnknown = task.anyUnknown || attemptEnd == AttemptEnd::Unknown;
  if (attemptEnd == AttemptEnd::Answered) {
    return end(task, FinishResult(FinishKind::TaskEnds));
  }
  const bool maySpend = attemptEnd == AttemptEnd::NotStarted ||
                        (task.spec.isRepeatable() && mayTryAgain(task, now) &&
                         m_retryBudget.take());
  if (!maySpend || !mayTryAgain(task, now)) {
    return end(task, FinishResult(problemOf(task, attemptEnd, now)));
  }
  enqueueAgain(task);
  return FinishResult(FinishKind::TriedAgain);
}

FinishResult
Dispatcher::end(TaskRecord& task, FinishResult result)
{
  ++m_counts.ended;
  const TaskId id = task.spec.id();
  remove(id);
  return result;
}

bool
Dispatcher::mayTryAgain(const TaskRecord& task, TimePoint now) const
{
  const std::optional<TimePoint>& deadline = task.spec.deadline();
  return !task.cancelled && task.attempts < task.spec.maxAttempts() &&
         (!deadline || now < *deadline);
}

Problem
Dispatcher::problemOf(const TaskRecord& task,
                      AttemptEnd attemptEnd,
                      TimePoint now) const
{
  const std::optional<TimePoint>& deadline = task.spec.deadline();
  if (task.cancelled) {
    return Problem(
      ProblemKind::Cancelled, task.ran(), "The submission was cancelled.");
  }
  if (task.anyUnknown) {
    return Problem(ProblemKind::OutcomeUnknown,
                   task.ran(),
                   "An attempt may have run; its end is not known.");
  }
  if (attemptEnd == AttemptEnd::Failed || task.anyFailed) {
    return Problem(
      ProblemKind::EndpointFailed, task.ran(), "The endpoint failed.");
  }
  if (deadline && now >= *deadline) {
    return Problem(ProblemKind::DeadlineExceeded,
                   task.ran(),
                   "The deadline passed before an endpoint took the task.");
  }
  return Problem(
           ProblemKind::NoEndpoint, task.ran(), "No endpoint took the task.")
    .withRetryAfter(
      m_admission.boundedRetryAfter(m_settings.ejection.firstBackoff));
}

std::vector<GiveUp>
Dispatcher::cancel(const SubmissionKey& key, TimePoint /*now*/)
{
  std::vector<GiveUp> given;
  const auto submission = m_submissions.find(key);
  if (submission == m_submissions.end()) {
    return given;
  }
  Submission& tasks = submission->second;
  for (auto entry = tasks.begin(); entry != tasks.end();) {
    TaskRecord& task = entry->second;
    if (!task.isQueued()) {
      task.cancelled = true;
      ++entry;
      continue;
    }
    given.emplace_back(task.spec.id(),
                       Problem(ProblemKind::Cancelled,
                               task.ran(),
                               "The submission was cancelled."));
    dequeue(task);
    entry = tasks.erase(entry);
    ++m_counts.ended;
  }
  if (tasks.empty()) {
    m_submissions.erase(submission);
  }
  return given;
}

std::optional<TimePoint>
Dispatcher::nextWake() const
{
  std::optional<TimePoint> wake;
  const auto consider = [&](std::optional<TimePoint> time) {
    const bool isPast = time && m_polledAt && *time <= *m_polledAt;
    if (time && !isPast && (!wake || *time < *wake)) {
      wake = time;
    }
  };
  if (!m_deadlines.empty()) {
    consider(m_deadlines.begin()->spec.deadline());
  }
  for (const ServiceRecord* service : m_serviceOrder) {
    if (service->queue.size() == 0) {
      continue;
    }
    consider(service->pool.nextProbe(allZones()));
    consider(service->pool.nextLending());
    for (const std::optional<TimePoint>& since : service->unusableSince) {
      if (since) {
        consider(*since + m_settings.noEndpointPatience);
      }
    }
  }
  return wake;
}

DispatchStats
Dispatcher::stats() const
{
  DispatchStats stats = m_counts;
  for (const auto& [id, record] : m_endpoints) {
    if (!record->listed) {
      continue;
    }
    EndpointStats endpoint;
    endpoint.id = id;
    endpoint.inFlight = record->inFlight;
    endpoint.limit = record->limit;
    endpoint.ejected = record->health.isEjected();
    endpoint.slowness = record->health.slowness();
    endpoint.failureRatio = record->health.failureRatio();
    stats.endpoints.push_back(endpoint);
  }
  for (const auto& [name, record] : m_organisations) {
    stats.organisations.push_back({ name, record->queued, record->inFlight });
  }
  return stats;
}

} // namespace cowslippin
