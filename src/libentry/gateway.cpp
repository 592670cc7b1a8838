#include "gateway.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// Parts that a scheduler hands on are numbered from 1; those of callers' jobs
/// from here, so that the two never meet.
constexpr std::uint64_t firstCallerPart = std::uint64_t(1) << 40;

} // namespace

Gateway::Gateway(VmId self, ShardId home, Settings settings, Hooks hooks)
  : m_self(std::move(self))
  , m_home(std::move(home))
  , m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_lastPart(firstCallerPart)
{
}

Gateway::Ticket
Gateway::submit(JobSubmission submission, Done done, TimePoint now)
{
  const Ticket ticket = ++m_lastTicket;
  const auto known = m_byId.find(submission.job);
  if (known != m_byId.end()) {
    m_jobs.at(known->second).callers[ticket] = std::move(done);
    m_tickets[ticket] = known->second;
    return ticket;
  }
  const std::uint64_t part = ++m_lastPart;
  Entry& entry = m_jobs[part];
  entry.key = JobKey(m_self, submission.job, part);
  entry.arrivedAt = now;
  entry.expiresAt = now + submission.timeLeft;
  entry.callers[ticket] = std::move(done);
  entry.submission = std::move(submission);
  m_byId[entry.submission.job] = part;
  m_tickets[ticket] = part;
  place(entry, now);
  return ticket;
}

void
Gateway::callerGone(Ticket ticket, TimePoint)
{
  const auto part = m_tickets.find(ticket);
  if (part == m_tickets.end())
    return;
  const auto found = m_jobs.find(part->second);
  m_tickets.erase(part);
  Entry& entry = found->second;
  entry.callers.erase(ticket);
  if (!entry.callers.empty())
    return;
  logEvent(LogLevel::Info,
           "caller-gone",
           { { "job", entry.submission.job },
             { "holder", entry.holder ? entry.holder->value() : "" } });
  if (entry.holder)
    m_hooks.cancel(*entry.holder, entry.key);
  m_byId.erase(entry.submission.job);
  m_jobs.erase(found);
}

void
Gateway::ended(const VmId& from,
               const JobKey& key,
               const JobEnd& end,
               TimePoint now)
{
  const auto found = m_jobs.find(key.part());
  if (found == m_jobs.end() || found->second.holder != from)
    return;
  Entry& entry = found->second;
  switch (end.outcome) {
    case JobOutcome::Completed:
      finish(found, { JobAnswer::Kind::Completed, Duration::zero(), "" });
      return;
    case JobOutcome::Failed:
      finish(found, { JobAnswer::Kind::Failed, Duration::zero(), "" });
      return;
    case JobOutcome::TimedOut:
      finish(found,
             { JobAnswer::Kind::Unknown, Duration::zero(), "out of time" });
      return;
    case JobOutcome::Refused:
      finish(
        found,
        { entry.lostAt ? JobAnswer::Kind::Unknown : JobAnswer::Kind::NotRun,
          end.retryAfter,
          "no room in time" });
      return;
    case JobOutcome::Moved:
      entry.done.insert(end.done.begin(), end.done.end());
      entry.firstRun = std::max(entry.firstRun, end.nextRun);
      for (const TaskIndex task : end.elsewhere)
        entry.elsewhere[task] = now + m_settings.lostRunLimit;
      entry.holder.reset();
      entry.lostAt = now;
      place(entry, now);
      return;
  }
}

void
Gateway::daemonLost(const VmId& vm, TimePoint now)
{
  for (auto& [part, entry] : m_jobs) {
    if (entry.holder != vm)
      continue;
    entry.holder.reset();
    entry.lostAt = now;
  }
}

void
Gateway::tick(TimePoint now)
{
  std::vector<std::uint64_t> parts;
  for (const auto& [part, entry] : m_jobs) {
    if (!entry.holder || now >= entry.expiresAt)
      parts.push_back(part);
  }
  for (const std::uint64_t part : parts) {
    const auto found = m_jobs.find(part);
    if (found == m_jobs.end())
      continue;
    Entry& entry = found->second;
    if (now >= entry.expiresAt) {
      if (entry.holder)
        m_hooks.cancel(*entry.holder, entry.key);
      finish(found,
             { JobAnswer::Kind::Unknown, Duration::zero(), "out of time" });
    } else {
      place(entry, now);
    }
  }
}

void
Gateway::place(Entry& entry, TimePoint now)
{
  const bool isPlaced =
    entry.lostAt ? placeAgain(entry, now) : placeFresh(entry, now);
  if (isPlaced || entry.lostAt || now - entry.arrivedAt < m_settings.holderWait)
    return;
  finish(m_jobs.find(entry.key.part()),
         { JobAnswer::Kind::NotRun,
           m_settings.noHolderRetry,
           "no daemon holds workers" });
}

bool
Gateway::placeFresh(Entry& entry, TimePoint now)
{
  if (const auto holder = m_hooks.holder(m_home)) {
    if (handTo(entry, *holder, m_home, false, now))
      return true;
  }
  const auto other = m_hooks.otherHolder();
  return other && handTo(entry, other->first, other->second, false, now);
}

/// A job whose daemon was lost goes to the next holder of the same workers,
/// which finds what still runs. If there is none, it starts anew elsewhere once
/// all that ran is surely over.
bool
Gateway::placeAgain(Entry& entry, TimePoint now)
{
  const bool isOver = now - *entry.lostAt >= m_settings.lostRunLimit;
  if (const auto holder = m_hooks.holder(entry.shard)) {
    if (handTo(entry, *holder, entry.shard, !isOver, now))
      return true;
  }
  if (!isOver)
    return false;
  const auto other = m_hooks.otherHolder();
  return other && handTo(entry, other->first, other->second, false, now);
}

bool
Gateway::handTo(Entry& entry,
                const VmId& vm,
                const ShardId& shard,
                bool isQuarantined,
                TimePoint now)
{
  JobRequest request;
  request.key = entry.key;
  request.policy = entry.submission.policy;
  request.needs = entry.submission.needs;
  request.spec = entry.submission.spec;
  request.taskPrefix = entry.submission.taskPrefix;
  for (TaskIndex task = 0; task < entry.submission.taskCount; ++task) {
    if (entry.done.count(task) == 0)
      request.tasks.push_back(task);
  }
  for (const auto& [task, until] : entry.elsewhere) {
    if (now >= until || entry.done.count(task) > 0)
      continue;
    request.elsewhere.push_back(task);
    request.elsewhereRemaining =
      std::max(request.elsewhereRemaining, until - now);
  }
  request.firstRun = entry.firstRun;
  request.age = now - entry.arrivedAt;
  request.timeLeft = entry.expiresAt - now;
  request.mayHaveRun = entry.lostAt.has_value();
  if (isQuarantined)
    request.quarantine =
      Quarantine{ entry.shard,
                  m_settings.lostRunLimit - (now - *entry.lostAt) };
  if (!m_hooks.submit(vm, request))
    return false;
  entry.holder = vm;
  entry.shard = shard;
  if (entry.lostAt)
    logEvent(LogLevel::Info,
             "job-resubmitted",
             { { "job", entry.submission.job },
               { "holder", vm },
               { "tasks", request.tasks.size() } });
  return true;
}

void
Gateway::finish(Entries::iterator found, const JobAnswer& answer)
{
  std::map<Ticket, Done> callers = std::move(found->second.callers);
  m_byId.erase(found->second.submission.job);
  m_jobs.erase(found);
  for (const auto& [ticket, done] : callers)
    m_tickets.erase(ticket);
  for (const auto& [ticket, done] : callers)
    done(answer);
}

} // namespace cowslippin
