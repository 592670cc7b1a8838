#include "gateway.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

Gateway::Gateway(VmId self,
                 Settings settings,
                 Hooks hooks,
                 std::uint64_t lastNumber)
  : m_self(std::move(self))
  , m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_lastKey(lastNumber)
{
}

Gateway::CallerId
Gateway::submit(JobSubmission submission, AnswerCallback done, TimePoint now)
{
  logJobRead(submission);
  const CallerId callerId = ++m_lastCallerId;
  const auto known = m_numberByJob.find(submission.job);
  if (known != m_numberByJob.end()) {
    Entry& entry = m_jobs.at(known->second);
    entry.callers[callerId] = std::move(done);
    m_jobByCaller[callerId] = known->second;
    logCallers("caller-joined", entry, now);
    return callerId;
  }
  const std::uint64_t number = ++m_lastJob;
  Entry& entry = m_jobs[number];
  entry.number = number;
  entry.arrivedAt = now;
  entry.expiresAt = now + submission.timeLeft;
  entry.longRunningFrom =
    std::max(now, now - submission.maxReadDelay + advertiseDelay());
  entry.callers[callerId] = std::move(done);
  entry.submission = std::move(submission);
  entry.exclusiveUntil = exclusiveUntilIfUnadvertised(entry);
  m_numberByJob[entry.submission.job] = number;
  m_jobByCaller[callerId] = number;
  Part& part = addPart(entry);
  for (TaskIndex task = 0; task < entry.submission.taskCount; ++task)
    part.tasks.insert(task);
  submitOrHold(entry, now);
  return callerId;
}

Duration
Gateway::advertiseDelay() const
{
  return std::max(m_settings.advertiseAfter - 2 * m_loopLag, Duration::zero());
}

/// Submits a job unless runs of an earlier submission may go on. In that case,
/// holds the job or recalls the earlier submission from the daemon that has it.
void
Gateway::submitOrHold(Entry& entry, TimePoint now)
{
  const JobId job = entry.submission.job;
  const auto abandoned = m_abandoned.find(job);
  if (abandoned != m_abandoned.end() && now < abandoned->second) {
    hold(entry, abandoned->second, now);
    return;
  }
  const bool isPartitioned = !mayHaveRuns(entry) && m_hooks.mayBePartitioned();
  if (isPartitioned && !entry.isAdvertised) {
    entry.countsRequestAge = true;
    entry.exclusiveUntil = exclusiveUntilIfUnadvertised(entry);
  }
  if (isPartitioned && mayBeHeldUp(entry)) {
    finish(entry,
           { JobAnswer::Kind::NotRun,
             m_settings.noHolderRetryAfter,
             "the request may be old, and not all daemons can be asked" },
           now);
    return;
  }
  if (const auto place = m_hooks.inProgressAt(job, entry.arrivedAt)) {
    waitFor(entry, *place, now);
    return;
  }
  entry.heldUntil.reset();
  entry.recallSentTo.reset();
  const auto result = m_hooks.registerJob(job, entry.endedAt);
  entry.registration = Registration::Pending;
  if (!result.isPending)
    registrationComplete(entry, result.inProgressAt, now);
}

/// Waits until an earlier submission of a job has ended elsewhere.
void
Gateway::waitFor(Entry& entry, const PeerJobs::Location& place, TimePoint now)
{
  if (!place.daemon) {
    hold(entry, place.orphansEndAt, now);
    return;
  }
  recall(entry, *place.daemon, now);
}

/// Recalls an earlier submission, and waits for the answer.
void
Gateway::recall(Entry& entry, const VmId& vm, TimePoint now)
{
  entry.heldUntil.reset();
  entry.recallSentTo = vm;
  entry.recallSentAt = now;
  sendRecall(vm, entry, now);
}

void
Gateway::registrationAnswered(
  const JobId& job,
  const std::optional<PeerJobs::Location>& inProgressAt,
  TimePoint now)
{
  const auto known = m_numberByJob.find(job);
  if (known == m_numberByJob.end())
    return;
  Entry& entry = m_jobs.at(known->second);
  if (entry.registration == Registration::Pending)
    registrationComplete(entry, inProgressAt, now);
}

void
Gateway::registrationComplete(
  Entry& entry,
  const std::optional<PeerJobs::Location>& inProgressAt,
  TimePoint now)
{
  entry.registration = Registration::None;
  if (inProgressAt) {
    waitFor(entry, *inProgressAt, now);
    return;
  }
  entry.registration = Registration::Complete;
  entry.registeredAt = now;
  placeUnassignedParts(entry, now);
}

std::vector<JobId>
Gateway::registeredJobs() const
{
  std::vector<JobId> jobs;
  for (const auto& [number, entry] : m_jobs) {
    if (entry.registration == Registration::Complete)
      jobs.push_back(entry.submission.job);
  }
  for (const auto& [job, overAt] : m_abandoned)
    jobs.push_back(job);
  return jobs;
}

bool
Gateway::isInProgress(const JobId& job, TimePoint now) const
{
  const auto abandoned = m_abandoned.find(job);
  return m_numberByJob.count(job) > 0 ||
         (abandoned != m_abandoned.end() && now < abandoned->second);
}

void
Gateway::renewRegistrations(TimePoint now)
{
  for (auto& [number, entry] : m_jobs) {
    if (entry.registration != Registration::Complete ||
        now - entry.registeredAt < JobRegistry::renewalInterval)
      continue;
    entry.registeredAt = now;
    m_hooks.renewRegistration(entry.submission.job);
  }
}

/// Holds a job until all runs of an earlier submission have ended. Ends the job
/// at once if too little of the caller's time would be left after that.
void
Gateway::hold(Entry& entry, TimePoint until, TimePoint now)
{
  if (!entry.heldUntil)
    logDecision(LogLevel::Info,
                "job-held",
                { { "job", entry.submission.job },
                  { "forMs", toMilliseconds(until - now) },
                  { "ageMs", toMilliseconds(now - entry.arrivedAt) } });
  entry.recallSentTo.reset();
  entry.heldUntil = until;
  if (until + entry.submission.needs.estimate >= entry.expiresAt)
    finish(entry,
           { JobAnswer::Kind::Unknown,
             until - now,
             "runs of an earlier submission are being stopped" },
           now);
}

void
Gateway::placeUnassignedParts(Entry& entry, TimePoint now)
{
  if (entry.registration != Registration::Complete)
    return;
  if (!entry.isAdvertised && now > entry.exclusiveUntil - exclusiveStartMargin)
    return;
  const std::uint64_t number = entry.number;
  std::vector<std::uint64_t> parts;
  for (const auto& [id, part] : entry.parts) {
    if (!part.holder)
      parts.push_back(id);
  }
  for (const std::uint64_t id : parts) {
    if (m_jobs.count(number) > 0)
      place(entry, entry.parts.at(id), now);
  }
}

void
Gateway::callerDisconnected(CallerId callerId, TimePoint now)
{
  const auto number = m_jobByCaller.find(callerId);
  if (number == m_jobByCaller.end())
    return;
  Entry& entry = m_jobs.at(number->second);
  m_jobByCaller.erase(number);
  entry.callers.erase(callerId);
  if (!entry.callers.empty())
    return;
  logCallers("caller-gone", entry, now);
  cancelAndRemove(entry, now);
}

void
Gateway::partEnded(const VmId& from,
                   const JobKey& key,
                   const JobEnd& end,
                   TimePoint now)
{
  const auto [entry, part] = find(from, key);
  if (!part)
    return;
  switch (end.outcome) {
    case JobOutcome::Failed:
      finish(*entry, { JobAnswer::Kind::Failed, Duration::zero(), "" }, now);
      return;
    case JobOutcome::TimedOut:
      finish(*entry,
             { JobAnswer::Kind::Unknown, Duration::zero(), "out of time" },
             now);
      return;
    case JobOutcome::Unresolved:
      finish(*entry,
             { JobAnswer::Kind::Unknown,
               end.retryAfter,
               "a worker didn't answer a start and may still carry it out" },
             now);
      return;
    case JobOutcome::Refused:
      partRefused(*entry, *part, end, now);
      return;
    case JobOutcome::Completed:
    case JobOutcome::Moved:
      partGivenUp(*entry, *part, end, now);
      return;
    case JobOutcome::NotHolder:
      // The next tick looks up the holder again; this daemon may know the right
      // one by then.
      part->holder.reset();
      return;
  }
}

void
Gateway::tasksReturned(const VmId& from,
                       const JobKey& key,
                       const TasksReturned& returned,
                       TimePoint now)
{
  const auto [entry, part] = find(from, key);
  if (!part)
    return;
  Part& other = addPart(*entry);
  other.firstRun = std::max(part->firstRun, returned.nextRun);
  other.allowsReturn = false;
  other.crashes = returned.crashes;
  for (const TaskIndex task : returned.tasks) {
    if (part->tasks.erase(task) > 0)
      other.tasks.insert(task);
  }
  entry->isSplit = true;
  other.wasReferred = !returned.holder.isEmpty();
  if (!other.wasReferred ||
      !submitPart(*entry, other, returned.holder, returned.shard, now))
    place(*entry, other, now);
}

void
Gateway::peerLost(const VmId& vm, TimePoint now)
{
  std::vector<Entry*> recalled;
  for (auto& [number, entry] : m_jobs) {
    if (entry.recallSentTo == vm)
      recalled.push_back(&entry);
    for (auto& [id, part] : entry.parts) {
      if (part.holder != vm)
        continue;
      markOrphaned(part, now);
    }
  }
  for (Entry* entry : recalled)
    hold(*entry, now + m_settings.maxOrphanedRun, now);
}

void
Gateway::markOrphaned(Part& part, TimePoint now) const
{
  const bool hasEarlierOrphans =
    part.orphanedAt && now - *part.orphanedAt < m_settings.maxOrphanedRun;
  part.activeTasks.reset();
  part.orphanWorkers.reset();
  const auto workers = m_hooks.workersDigest(*part.holder, part.shard);
  if (workers && !hasEarlierOrphans)
    part.orphanWorkers = ShardWorkers{ part.shard, *workers };
  part.orphanedAt = now;
  part.holder.reset();
}

void
Gateway::tick(TimePoint now)
{
  for (auto job = m_abandoned.begin(); job != m_abandoned.end();)
    job = now >= job->second ? m_abandoned.erase(job) : std::next(job);
  markAdvertisedJobs(now);
  renewRegistrations(now);
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : m_jobs)
    numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    Entry& entry = m_jobs.at(number);
    if (now >= entry.expiresAt) {
      logCallers("caller-timed-out", entry, now);
      finish(entry,
             { JobAnswer::Kind::Unknown, Duration::zero(), "out of time" },
             now);
    } else if (!entry.isAdvertised && now >= unadvertisedDeadline(entry)) {
      endUnadvertised(entry, now);
    } else if (isRecallRetryDue(entry, now)) {
      recall(entry, *entry.recallSentTo, now);
    } else if (entry.heldUntil && now >= *entry.heldUntil) {
      submitOrHold(entry, now);
    } else if (!entry.heldUntil && !entry.recallSentTo) {
      placeUnassignedParts(entry, now);
    }
  }
}

/// Marks jobs as advertised once all peers have received the advertisement.
void
Gateway::markAdvertisedJobs(TimePoint now)
{
  if (!hasUnadvertisedJobs(now))
    return;
  const TimePoint advertisedUntil = m_hooks.advertisedUntil();
  for (auto& [number, entry] : m_jobs) {
    const bool isExclusivityOver =
      mayHaveRuns(entry) && now >= entry.exclusiveUntil;
    if (!entry.isAdvertised && !isExclusivityOver &&
        now >= entry.longRunningFrom &&
        advertisedUntil >= entry.longRunningFrom)
      markAdvertised(entry);
  }
}

void
Gateway::markAdvertised(Entry& entry)
{
  entry.isAdvertised = true;
  entry.hasBeenAdvertised = true;
  for (const auto& [id, part] : entry.parts) {
    if (part.holder)
      m_hooks.confirmAdvertised(*part.holder, part.key);
  }
}

std::vector<LongRunningJob>
Gateway::longRunningJobs(TimePoint now) const
{
  std::vector<LongRunningJob> jobs;
  for (const auto& [number, entry] : m_jobs) {
    if (now >= entry.longRunningFrom)
      jobs.push_back({ entry.submission.job, ageOf(entry, now) });
  }
  for (const auto& [job, overAt] : m_abandoned) {
    if (now < overAt)
      jobs.push_back({ job, Duration::zero() });
  }
  return jobs;
}

bool
Gateway::hasUnadvertisedJobs(TimePoint now) const
{
  return std::any_of(m_jobs.begin(), m_jobs.end(), [now](const auto& item) {
    return !item.second.isAdvertised && now >= item.second.longRunningFrom;
  });
}

/// Whether the request may have been held up on its way for so long that its
/// caller has submitted the job again elsewhere.
bool
Gateway::mayBeHeldUp(const Entry& entry) const
{
  return entry.submission.maxAge > m_settings.maxAgeInPartition;
}

void
Gateway::advertiseAgain(TimePoint exclusiveUntil)
{
  for (auto& [number, entry] : m_jobs) {
    entry.countsRequestAge = true;
    if (!entry.hasBeenAdvertised) {
      entry.exclusiveUntil = exclusiveUntilIfUnadvertised(entry);
      continue;
    }
    if (entry.isAdvertised)
      entry.exclusiveUntil = exclusiveUntil;
    entry.isAdvertised = false;
    entry.exclusiveUntil =
      std::max(exclusiveUntilIfUnadvertised(entry),
               std::min(entry.exclusiveUntil, exclusiveUntil));
  }
}

void
Gateway::longRunningJobsReceived(const VmId& from,
                                 const std::vector<LongRunningJob>& jobs,
                                 TimePoint now)
{
  for (const LongRunningJob& other : jobs) {
    const auto known = m_numberByJob.find(other.job);
    if (known == m_numberByJob.end())
      continue;
    const Entry& entry = m_jobs.at(known->second);
    if (!entry.recallSentTo && ageOf(entry, now) < other.age)
      sendRecall(from, entry, now);
  }
}

void
Gateway::sendRecall(const VmId& vm, const Entry& entry, TimePoint now)
{
  logDecision(LogLevel::Info,
              "job-submitted-again",
              { { "job", entry.submission.job }, { "underWayAt", vm } });
  const bool isWaiting = entry.registration != Registration::Complete;
  m_hooks.recall(vm, { entry.submission.job, ageOf(entry, now), isWaiting });
}

/// Upper bound on the time since the caller sent the request.
Duration
Gateway::ageOf(const Entry& entry, TimePoint now)
{
  return now - entry.arrivedAt + entry.submission.maxReadDelay;
}

bool
Gateway::isRecallRetryDue(const Entry& entry, TimePoint now) const
{
  return entry.recallSentTo &&
         now - entry.recallSentAt >= m_settings.recallRetryInterval;
}

/// Until when a job that isn't advertised to any peer is exclusive.
TimePoint
Gateway::exclusiveUntilIfUnadvertised(const Entry& entry)
{
  const JobSubmission& submission = entry.submission;
  const Duration age = entry.countsRequestAge
                         ? std::max(submission.maxReadDelay, submission.maxAge)
                         : submission.maxReadDelay;
  return entry.arrivedAt - age + maxRunAfterContact;
}

/// Whether any task of a job may be running.
bool
Gateway::mayHaveRuns(const Entry& entry)
{
  return entry.isSplit ||
         std::any_of(
           entry.parts.begin(), entry.parts.end(), [](const auto& item) {
             return item.second.holder || item.second.orphanedAt;
           });
}

/// The time at which a job ends if it hasn't been advertised to the peers.
TimePoint
Gateway::unadvertisedDeadline(const Entry& entry) const
{
  const TimePoint end = entry.exclusiveUntil - m_settings.unadvertisedMargin;
  return mayHaveRuns(entry)
           ? end
           : std::max(end, entry.longRunningFrom + m_settings.advertiseLimit);
}

void
Gateway::endUnadvertised(Entry& entry, TimePoint now)
{
  const char* reason = "other daemons can't be told where the job is under way";
  logCallers("job-untold", entry, now);
  if (mayHaveRuns(entry))
    finish(entry,
           { JobAnswer::Kind::Unknown, m_settings.maxOrphanedRun, reason },
           now);
  else
    finish(entry,
           { JobAnswer::Kind::NotRun, m_settings.noHolderRetryAfter, reason },
           now);
}

/// Whether a submission goes on although a peer recalls it. Of two submissions
/// the later one is kept. When the peer's request was held up on its way, that
/// is the one that was read here before.
bool
Gateway::mayKeep(const Entry& entry,
                 const PeerRecall& recall,
                 TimePoint now) const
{
  if (ageOf(entry, now) < recall.age)
    return true;
  return recall.isWaiting && entry.registration == Registration::Complete &&
         now - entry.arrivedAt < m_settings.minResubmitAge;
}

Duration
Gateway::recallReceived(const VmId& from,
                        const PeerRecall& recall,
                        TimePoint now)
{
  Duration endedWithin = Duration::zero();
  const auto known = m_numberByJob.find(recall.job);
  if (known != m_numberByJob.end()) {
    Entry& entry = m_jobs.at(known->second);
    if (mayKeep(entry, recall, now))
      return m_settings.maxOrphanedRun;
    logDecision(LogLevel::Info,
                "job-recalled",
                { { "job", recall.job },
                  { "by", from },
                  { "ageMs", toMilliseconds(now - entry.arrivedAt) } });
    if (entry.recallSentTo)
      endedWithin = m_settings.maxOrphanedRun;
    else if (entry.heldUntil)
      endedWithin = *entry.heldUntil - now;
    finish(entry,
           { JobAnswer::Kind::Unknown,
             Duration::zero(),
             "the job was submitted again at another daemon" },
           now);
  }
  const auto abandoned = m_abandoned.find(recall.job);
  return abandoned == m_abandoned.end()
           ? endedWithin
           : std::max(endedWithin, abandoned->second - now);
}

void
Gateway::recallAcknowledged(const VmId& from,
                            const JobId& job,
                            Duration endedWithin,
                            TimePoint now)
{
  const auto known = m_numberByJob.find(job);
  if (known == m_numberByJob.end())
    return;
  Entry& entry = m_jobs.at(known->second);
  if (entry.recallSentTo != from)
    return;
  if (endedWithin > Duration::zero()) {
    hold(entry, now + endedWithin, now);
    return;
  }
  entry.endedAt.insert(from);
  submitOrHold(entry, now);
}

IdList
Gateway::jobsSubmittedTo(const VmId& holder) const
{
  IdList jobs;
  for (const auto& [number, entry] : m_jobs) {
    const auto hasPart = [&](const auto& item) {
      return item.second.holder == holder;
    };
    if (std::any_of(entry.parts.begin(), entry.parts.end(), hasPart))
      jobs.add(entry.submission.job.value());
  }
  return jobs;
}

std::set<VmId>
Gateway::holders() const
{
  std::set<VmId> holders;
  for (const auto& [number, entry] : m_jobs) {
    for (const auto& [id, part] : entry.parts) {
      if (part.holder)
        holders.insert(*part.holder);
    }
  }
  return holders;
}

void
Gateway::logJobRead(const JobSubmission& submission)
{
  logEvent(LogLevel::Info,
           "job-read",
           { { "job", submission.job },
             { "tasks", submission.taskCount },
             { "maxAgeMs", toMilliseconds(submission.maxAge) },
             { "readDelayMs", toMilliseconds(submission.maxReadDelay) } });
}

void
Gateway::logCallers(const char* event, const Entry& entry, TimePoint now) const
{
  logDecision(LogLevel::Info,
              event,
              { { "job", entry.submission.job },
                { "callers", entry.callers.size() },
                { "parts", entry.parts.size() },
                { "ageMs", toMilliseconds(now - entry.arrivedAt) } });
}

/// The job and the part that daemon `from` has under this key now, or null
/// pointers. The whole key has to match: a holder goes on for a moment with the
/// jobs of a process that was killed, and sends their ends to the process that
/// was started in its place.
Gateway::PartRef
Gateway::find(const VmId& from, const JobKey& key)
{
  const auto place = m_partByKey.find(key);
  if (place == m_partByKey.end())
    return { nullptr, nullptr };
  Entry& entry = m_jobs.at(place->second.first);
  Part& part = entry.parts.at(place->second.second);
  if (part.holder != from)
    return { nullptr, nullptr };
  return { &entry, &part };
}

Gateway::Part&
Gateway::addPart(Entry& entry)
{
  const std::uint64_t id = ++m_lastPart;
  Part& part = entry.parts[id];
  part.id = id;
  return part;
}

void
Gateway::partCompleted(Entry& entry, Part& part, TimePoint now)
{
  m_partByKey.erase(part.key);
  entry.parts.erase(part.id);
  if (entry.parts.empty())
    finish(entry, { JobAnswer::Kind::Completed, Duration::zero(), "" }, now);
}

/// A job that is refused as a whole has not run. Another shard may have free
/// slots, because load and workers are spread unevenly over the zones. So the
/// caller is refused only when the shards with the most free slots have been
/// asked and no other one advertises free slots. A refused part of a split job
/// goes back to a holder in the job's own zone, which has to queue it.
void
Gateway::partRefused(Entry& entry, Part& part, const JobEnd& end, TimePoint now)
{
  part.holder.reset();
  part.wasReferred = false;
  if (entry.isSplit || part.orphanedAt) {
    place(entry, part, now);
    return;
  }
  part.refusedBy.insert(part.shard);
  part.retryAfter = std::min(part.retryAfter, end.retryAfter);
  if (!placeOnBestHolder(entry, part, now))
    finish(entry,
           { JobAnswer::Kind::NotRun, part.retryAfter, "no room in time" },
           now);
}

/// Removes the tasks that are done and places the others again. A completed
/// part has others left if the message that returned them was lost with its
/// connection.
void
Gateway::partGivenUp(Entry& entry, Part& part, const JobEnd& end, TimePoint now)
{
  for (const TaskIndex task : end.done)
    part.tasks.erase(task);
  if (part.tasks.empty()) {
    partCompleted(entry, part, now);
    return;
  }
  part.firstRun = std::max(part.firstRun, end.nextRun);
  part.crashes = end.crashes;
  markOrphaned(part, now);
  part.activeTasks = end.activeTasks;
  place(entry, part, now);
}

void
Gateway::place(Entry& entry, Part& part, TimePoint now)
{
  const bool isPlaced = part.orphanedAt ? placeAfterLoss(entry, part, now)
                                        : placeOnBestHolder(entry, part, now);
  const bool mayRefuse = !part.orphanedAt && !entry.isSplit;
  if (isPlaced || !mayRefuse)
    return;
  if (m_hooks.areAllZonesEvacuated()) {
    finish(entry,
           { JobAnswer::Kind::NotRun,
             m_settings.evacuatedRetryAfter,
             "all availability zones are evacuated" },
           now);
    return;
  }
  if (!isHolderWaitOver(entry, now))
    return;
  finish(entry,
         { JobAnswer::Kind::NotRun,
           m_settings.noHolderRetryAfter,
           "no daemon holds workers" },
         now);
}

bool
Gateway::isHolderWaitOver(const Entry& entry, TimePoint now) const
{
  const QueuePolicy& policy = entry.submission.policy;
  const double ideal =
    double(entry.submission.needs.estimate.count()) * policy.stretch +
    double(policy.target.count());
  return double((now - entry.arrivedAt).count()) >=
         ideal * m_settings.holderWaitShare;
}

bool
Gateway::placeOnBestHolder(Entry& entry, Part& part, TimePoint now)
{
  part.wasReferred = false;
  const auto best = m_hooks.bestHolder(part.refusedBy, part.tasks.size());
  if (!best || !mayTry(part, *best) ||
      !submitPart(entry, part, best->holder, best->shard, now))
    return false;
  logEvent(LogLevel::Info,
           "job-placed",
           { { "job", entry.submission.job },
             { "tasks", part.tasks.size() },
             { "holder", best->holder },
             { "shard", best->shard.toString() },
             { "places", best->freeSlots },
             { "placesAgeMs", toMilliseconds(best->age) },
             { "ageMs", toMilliseconds(now - entry.arrivedAt) } });
  return true;
}

/// Whether a holder may be asked although others have refused the job.
bool
Gateway::mayTry(const Part& part, const HolderChoice& choice) const
{
  return part.refusedBy.size() < m_settings.maxShardsAsked ||
         choice.freeSlots > 0;
}

/// A part whose holder was lost goes to the next holder of the same workers,
/// which finds the runs that still go on. If there is no such holder, the part
/// is placed elsewhere once all orphaned runs have ended.
bool
Gateway::placeAfterLoss(Entry& entry, Part& part, TimePoint now)
{
  if (const auto next = m_hooks.currentHolder(part.shard)) {
    if (submitPart(entry, part, next->holder, next->shard, now))
      return true;
  }
  const bool isOver = now - *part.orphanedAt >= m_settings.maxOrphanedRun;
  return isOver && placeOnBestHolder(entry, part, now);
}

bool
Gateway::submitPart(Entry& entry,
                    Part& part,
                    const VmId& vm,
                    const ShardId& shard,
                    TimePoint now)
{
  JobRequest request;
  request.key = JobKey(m_self, entry.submission.job, ++m_lastKey);
  request.previousPart = part.key.part();
  request.policy = entry.submission.policy;
  request.needs = entry.submission.needs;
  request.spec = entry.submission.spec;
  request.taskPrefix = entry.submission.taskPrefix;
  request.tasks.assign(part.tasks.begin(), part.tasks.end());
  request.firstRun = part.firstRun;
  request.crashes = part.crashes;
  request.age = now - entry.arrivedAt;
  request.timeLeft = entry.expiresAt - now;
  if (!entry.isAdvertised)
    request.exclusiveFor = entry.exclusiveUntil - now;
  request.allowsReturn = part.allowsReturn;
  request.shard = shard;
  // A holder that was named for its free slots may refuse. Any other holder
  // queues the part of a split job.
  const bool mayRefuse = !entry.isSplit || part.wasReferred;
  request.mayHaveRun = part.orphanedAt || !mayRefuse;
  const Duration orphanedFor =
    part.orphanedAt ? now - *part.orphanedAt : Duration::zero();
  if (part.orphanedAt && orphanedFor < m_settings.maxOrphanedRun)
    request.quarantine = Quarantine{ part.orphanWorkers,
                                     orphanedFor,
                                     m_settings.maxOrphanedRun - orphanedFor,
                                     part.activeTasks };
  if (!m_hooks.submit(vm, request))
    return false;
  m_partByKey.erase(part.key);
  m_partByKey[request.key] = { entry.number, part.id };
  part.key = request.key;
  part.holder = vm;
  part.shard = shard;
  if (part.orphanedAt)
    logDecision(LogLevel::Info,
                "job-resubmitted",
                { { "job", entry.submission.job },
                  { "holder", vm },
                  { "shard", shard.toString() },
                  { "part", request.key.part() },
                  { "previousPart", request.previousPart },
                  { "tasks", request.tasks.size() },
                  { "cause", part.activeTasks ? "moved" : "holder-lost" },
                  { "sinceLossMs", toMilliseconds(orphanedFor) } });
  return true;
}

void
Gateway::finish(Entry& entry, const JobAnswer& answer, TimePoint now)
{
  const std::map<CallerId, AnswerCallback> callers = std::move(entry.callers);
  cancelAndRemove(entry, now);
  for (const auto& [callerId, done] : callers)
    m_jobByCaller.erase(callerId);
  for (const auto& [callerId, done] : callers)
    done(answer);
}

/// Cancels the parts that holders still have, and removes the job.
void
Gateway::cancelAndRemove(Entry& entry, TimePoint now)
{
  for (const auto& [id, part] : entry.parts) {
    m_partByKey.erase(part.key);
    if (part.holder)
      m_hooks.cancel(*part.holder, part.key);
    if (part.holder || part.orphanedAt)
      m_abandoned[entry.submission.job] = now + m_settings.maxOrphanedRun;
  }
  if (m_abandoned.count(entry.submission.job) > 0)
    m_hooks.renewRegistration(entry.submission.job);
  if (entry.registration == Registration::Pending)
    m_hooks.cancelRegistration(entry.submission.job);
  m_numberByJob.erase(entry.submission.job);
  m_jobs.erase(entry.number);
}

} // namespace cowslippin
