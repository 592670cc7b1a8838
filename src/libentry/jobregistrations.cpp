#include "jobregistrations.h"

#include "libjobs/jobs.h"
#include "libobserve/observe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// After how long a registration is repeated because a daemon couldn't be
/// reached.
constexpr Duration retryInterval = std::chrono::milliseconds(20);

} // namespace

JobRegistrations::JobRegistrations(VmId self,
                                   Hooks hooks,
                                   TimePoint now,
                                   std::uint64_t lastRound)
  : m_self(std::move(self))
  , m_hooks(std::move(hooks))
  , m_choice(m_self, now)
  , m_lastRound(lastRound)
{
}

JobRegistrations::Result
JobRegistrations::add(const JobId& job,
                      const std::set<VmId>& endedAt,
                      TimePoint now)
{
  Round& round = m_rounds[job];
  round = {};
  round.number = ++m_lastRound;
  round.endedAt = endedAt;
  round.registrar = m_choice.registrarOf(job);
  ask(job, round, round.registrar, now);
  if (!round.awaited.empty())
    return { true, std::nullopt };
  return conclude(job, now);
}

void
JobRegistrations::renew(const JobId& job, TimePoint now)
{
  const VmId registrar = m_choice.registrarOf(job);
  if (registrar == m_self)
    m_registry.add(job, m_self, {}, now);
  else
    m_hooks.send(registrar, PeerJobRegistration{ job, 0, {}, false });
}

void
JobRegistrations::cancel(const JobId& job)
{
  m_rounds.erase(job);
}

void
JobRegistrations::registrationReceived(const VmId& from,
                                       const PeerJobRegistration& registration,
                                       TimePoint now)
{
  const PeerJobRegistrationAck ack = registerHere(from, registration, now);
  if (registration.isAnswerRequested)
    m_hooks.send(from, ack);
}

/// Registers a job at this daemon, which may be its registrar or one of all
/// that are asked.
PeerJobRegistrationAck
JobRegistrations::registerHere(const VmId& gateway,
                               const PeerJobRegistration& registration,
                               TimePoint now)
{
  PeerJobRegistrationAck ack;
  ack.job = registration.job;
  ack.number = registration.number;
  ack.isComplete =
    m_choice.isComplete(registration.job, m_hooks.haveAllJustStarted(), now);
  ack.alsoAsk = m_choice.recentlyBack(now);
  if (gateway != m_self && m_hooks.isInProgressHere(registration.job)) {
    ack.gateway = m_self;
    ack.expiresIn = JobRegistry::lifetime;
    return ack;
  }
  const auto earlier =
    m_registry.add(registration.job, gateway, registration.endedAt, now);
  if (earlier) {
    ack.gateway = earlier->gateway;
    ack.expiresIn = earlier->expiresAt - now;
  }
  return ack;
}

void
JobRegistrations::ackReceived(const VmId& from,
                              const PeerJobRegistrationAck& ack,
                              TimePoint now)
{
  const auto found = m_rounds.find(ack.job);
  if (found == m_rounds.end() || found->second.number != ack.number ||
      found->second.awaited.erase(from) == 0)
    return;
  take(from, found->second, ack, now);
  concludeIfAnswered(ack.job, now);
}

void
JobRegistrations::peerUp(const PeerHello& peer,
                         const std::vector<JobId>& registered,
                         TimePoint now)
{
  m_choice.peerUp(peer, now);
  for (const JobId& job : registered) {
    if (m_choice.registrarOf(job) == peer.vm)
      renew(job, now);
  }
  for (auto& [job, round] : m_rounds) {
    // Over an earlier connection the answer may have been lost.
    const bool isAwaited = round.awaited.count(peer.vm) > 0;
    if (round.asksAll || isAwaited)
      ask(job, round, peer.vm, now);
  }
}

void
JobRegistrations::peerDown(const VmId& vm,
                           const std::vector<JobId>& registered,
                           TimePoint now)
{
  std::vector<JobId> moved;
  for (const JobId& job : registered) {
    if (m_choice.registrarOf(job) == vm)
      moved.push_back(job);
  }
  m_choice.peerDown(vm, now);
  m_registry.gatewayLost(vm, now);
  for (const JobId& job : moved)
    renew(job, now);
  std::map<JobId, PeerJobs::Location> interrupted;
  for (const auto& [job, round] : m_rounds) {
    if (round.awaited.count(vm) > 0)
      interrupted[job] = round.found ? locate(*round.found)
                                     : PeerJobs::Location{ std::nullopt, now };
  }
  for (const auto& [job, location] : interrupted) {
    m_rounds.erase(job);
    m_hooks.answered(job, location);
  }
}

void
JobRegistrations::ask(const JobId& job,
                      Round& round,
                      const VmId& vm,
                      TimePoint now)
{
  round.asked.insert(vm);
  const PeerJobRegistration registration{
    job, round.number, { round.endedAt.begin(), round.endedAt.end() }, true
  };
  if (vm == m_self)
    take(m_self, round, registerHere(m_self, registration, now), now);
  else if (m_hooks.send(vm, registration))
    round.awaited.insert(vm);
  else
    round.hasFailed = true;
}

void
JobRegistrations::askAll(const JobId& job, Round& round, TimePoint now)
{
  if (round.asksAll)
    return;
  round.asksAll = true;
  if (round.asked.count(m_self) == 0)
    ask(job, round, m_self, now);
  for (const VmId& vm : m_hooks.connectedPeers()) {
    if (round.asked.count(vm) == 0)
      ask(job, round, vm, now);
  }
}

/// Takes an answer, and asks the daemons that have to be asked because of the
/// registrar's. Of several earlier registrations the one that expires last
/// counts.
void
JobRegistrations::take(const VmId& from,
                       Round& round,
                       const PeerJobRegistrationAck& ack,
                       TimePoint now)
{
  if (from == round.registrar && !ack.isComplete)
    askAll(ack.job, round, now);
  if (from == round.registrar) {
    for (const VmId& vm : ack.alsoAsk) {
      if (round.asked.count(vm) == 0 && m_choice.isConnected(vm))
        ask(ack.job, round, vm, now);
    }
  }
  if (ack.gateway.isEmpty() || round.endedAt.count(ack.gateway) > 0)
    return;
  const TimePoint expiresAt = now + ack.expiresIn;
  if (!round.found || round.found->expiresAt < expiresAt)
    round.found = JobRegistry::Registration{ ack.gateway, expiresAt };
}

void
JobRegistrations::concludeIfAnswered(const JobId& job, TimePoint now)
{
  const auto found = m_rounds.find(job);
  if (found == m_rounds.end() || !found->second.awaited.empty())
    return;
  const Result result = conclude(job, now);
  if (!result.isPending)
    m_hooks.answered(job, result.inProgressAt);
}

JobRegistrations::Result
JobRegistrations::conclude(const JobId& job, TimePoint now)
{
  const Round round = std::move(m_rounds.at(job));
  m_rounds.erase(job);
  if (!round.found && round.hasFailed)
    return { false, PeerJobs::Location{ std::nullopt, now + retryInterval } };
  if (!round.found)
    return {};
  logDecision(LogLevel::Info,
              "job-registered-elsewhere",
              { { "job", job },
                { "gateway", round.found->gateway },
                { "asked", round.asked.size() },
                { "forMs", toMilliseconds(round.found->expiresAt - now) } });
  return { false, locate(*round.found) };
}

/// Where a job is in progress that another gateway has registered. That gateway
/// can be asked unless it isn't connected or has restarted since.
PeerJobs::Location
JobRegistrations::locate(const JobRegistry::Registration& found) const
{
  const auto known = m_choice.processKnownSince(found.gateway);
  if (known && *known <= found.expiresAt - JobRegistry::lifetime)
    return { found.gateway, TimePoint() };
  return { std::nullopt, found.expiresAt };
}

} // namespace cowslippin
