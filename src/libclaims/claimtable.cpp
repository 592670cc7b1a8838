#include "claimtable.h"

#include <sstream>

#include <algorithm>

namespace cowslippin {

namespace {

/// The part of `maxEntries` kept beyond it for claims of other daemons.
constexpr std::size_t reserveDivisor = 4;

constexpr Duration shortestRetry = std::chrono::milliseconds(1);

Duration
remaining(TimePoint until, TimePoint now)
{
  return std::max(shortestRetry, until - now);
}

ClaimDropped
droppedInDoubt(const ClaimKey& key, Duration window)
{
  return { key.toSubmissionKey(),
           Problem(ProblemKind::OutcomeUnknown,
                   RunState::MayHaveRun,
                   "claims were lost unread; the submission was not started "
                   "here, but another daemon may have run it")
             .withRetryAfter(window) };
}

ClaimDropped
droppedTooLate(const ClaimKey& key)
{
  return { key.toSubmissionKey(),
           Problem(ProblemKind::DeadlineExceeded,
                   RunState::NotRun,
                   "the submission was not started in time and never will") };
}

} // namespace

ClaimTable::ClaimTable(Incarnation self, ClaimLimits limits)
  : m_self(std::move(self))
  , m_limits(limits)
{
}

ClaimDecision
ClaimTable::submit(const SubmissionKey& key, TimePoint now)
{
  const auto parsed = ClaimKey::parse(key);
  if (!parsed) {
    return ClaimRefused{ parsed.error() };
  }
  if (!m_caughtUp) {
    return ClaimRefused{ Problem(ProblemKind::NotCaughtUp,
                                 RunState::NotRun,
                                 "the daemon has not read all claims yet")
                           .withRetryAfter(m_limits.catchUpRetry) };
  }
  const LocalClaim* local = m_local.find(*parsed);
  if (local != nullptr && local->stage != LocalStage::Held) {
    return ClaimPending{};
  }
  const WindowEntry* owner = m_window.find(*parsed);
  return owner == nullptr ? submitUnowned(*parsed, now)
                          : submitOwned(*owner, now);
}

ClaimDecision
ClaimTable::submitUnowned(const ClaimKey& key, TimePoint now)
{
  if (isInDoubt(now)) {
    return refuseInDoubt(*m_doubtEnd, now);
  }
  return enqueue(key, std::nullopt, now);
}

ClaimDecision
ClaimTable::submitOwned(const WindowEntry& owner, TimePoint now)
{
  switch (owner.standing) {
    case ClaimStanding::Elsewhere:
      return OwnedElsewhere{ m_window.owner(owner), owner.claim };
    case ClaimStanding::Held:
    case ClaimStanding::Started:
      return OwnedHere{ owner.claim };
    case ClaimStanding::Declined:
      break;
  }
  if (isEntryInDoubt(owner)) {
    return refuseInDoubt(owner.readAt + m_limits.window, now);
  }
  return enqueue(owner.key, owner.claim, now);
}

ClaimDecision
ClaimTable::enqueue(const ClaimKey& key,
                    std::optional<Offset> supersedes,
                    TimePoint now)
{
  if (isFull()) {
    const WindowEntry* oldest = m_window.oldest();
    const TimePoint room = oldest == nullptr ? now + m_limits.catchUpRetry
                                             : oldest->readAt + m_limits.window;
    return ClaimRefused{ Problem(ProblemKind::Overloaded,
                                 RunState::NotRun,
                                 "the daemon remembers as many claims as it "
                                 "may")
                           .withRetryAfter(remaining(room, now)) };
  }
  m_local.add(key, supersedes, m_nextBatch, now);
  return ClaimQueued{};
}

ClaimRefused
ClaimTable::refuseInDoubt(TimePoint until, TimePoint now) const
{
  return { Problem(ProblemKind::OutcomeUnknown,
                   RunState::MayHaveRun,
                   "claims were lost unread; nothing was started for this "
                   "submission, but an earlier one of its key may have run")
             .withRetryAfter(remaining(until, now)) };
}

bool
ClaimTable::isInDoubt(TimePoint now) const
{
  return m_doubtEnd && now <= *m_doubtEnd;
}

bool
ClaimTable::isEntryInDoubt(const WindowEntry& entry) const
{
  return entry.isUncertain || (m_doubtEnd && entry.readAt <= *m_doubtEnd);
}

bool
ClaimTable::isFull() const
{
  return m_window.size() + m_local.size() >= m_limits.maxEntries;
}

std::optional<ClaimBatch>
ClaimTable::takeBatch(TimePoint now)
{
  if (m_inFlight || m_local.queued() == 0 || isInDoubt(now)) {
    return std::nullopt;
  }
  ClaimBatch::Fields fields;
  fields.owner = m_self;
  fields.batchNumber = m_nextBatch++;
  fields.readUpTo = m_readUpTo;
  fields.entries = m_local.send(m_limits.maxBatchEntries, fields.batchNumber);
  m_inFlight = InFlight{ fields.batchNumber, {} };
  for (const ClaimEntry& entry : fields.entries) {
    m_inFlight->keys.push_back(entry.key);
  }
  return ClaimBatch(std::move(fields));
}

void
ClaimTable::appendEnded(std::uint64_t batchNumber,
                        AppendEnd end,
                        TimePoint /*now*/)
{
  if (!m_inFlight || m_inFlight->batchNumber != batchNumber) {
    return;
  }
  const InFlight ended = std::move(*m_inFlight);
  m_inFlight.reset();
  if (end == AppendEnd::Appended) {
    return;
  }
  for (const ClaimKey& key : ended.keys) {
    const LocalClaim* local = m_local.find(key);
    if (local != nullptr && local->stage == LocalStage::Sent &&
        local->sentIn == batchNumber) {
      m_local.requeue(key);
    }
  }
}

std::vector<ClaimEvent>
ClaimTable::recordRead(Offset offset, const ClaimBatch& batch, TimePoint now)
{
  Events events;
  if (beginRecord(offset, now, events)) {
    applyBatch(offset, batch, now, events);
  }
  return events;
}

std::vector<ClaimEvent>
ClaimTable::recordRead(Offset offset, const std::string& text, TimePoint now)
{
  Events events;
  if (!beginRecord(offset, now, events)) {
    return events;
  }
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const auto batch = parseClaimBatch(line);
    if (batch) {
      applyBatch(offset, *batch, now, events);
    } else {
      ++m_unreadable;
    }
  }
  return events;
}

void
ClaimTable::applyBatch(Offset offset,
                       const ClaimBatch& batch,
                       TimePoint now,
                       Events& events)
{
  for (const ClaimEntry& entry : batch.entries()) {
    applyEntry(offset, batch, entry.key, now, events);
  }
  const bool isOwn = batch.owner() == m_self;
  if (isOwn && m_inFlight && m_inFlight->batchNumber == batch.batchNumber()) {
    m_inFlight.reset();
  }
}

bool
ClaimTable::beginRecord(Offset offset, TimePoint now, Events& events)
{
  if (offset <= m_readUpTo) {
    return false;
  }
  skipTo(offset, now, events);
  m_readUpTo = offset;
  return true;
}

std::vector<ClaimEvent>
ClaimTable::skippedTo(Offset first, TimePoint now)
{
  Events events;
  skipTo(first, now, events);
  return events;
}

void
ClaimTable::skipTo(Offset first, TimePoint now, Events& events)
{
  if (first <= m_readUpTo + 1) {
    return;
  }
  const bool atStart = m_readUpTo == 0 && !m_caughtUp;
  m_lastGap = { m_readUpTo + 1, first };
  m_readUpTo = first - 1;
  m_window.skipUpTo(m_readUpTo);
  if (atStart && m_limits.retention >= m_limits.window) {
    return;
  }
  enterDoubt(now, events);
}

void
ClaimTable::enterDoubt(TimePoint now, Events& events)
{
  ++m_gaps;
  m_doubtEnd = now + m_limits.window;
  for (const ClaimKey& key : m_local.unsettled()) {
    m_local.remove(key);
    events.emplace_back(droppedInDoubt(key, m_limits.window));
  }
}

void
ClaimTable::applyEntry(Offset offset,
                       const ClaimBatch& batch,
                       const ClaimKey& key,
                       TimePoint now,
                       Events& events)
{
  const WindowEntry* current = m_window.find(key);
  if (current != nullptr && current->claim > batch.readUpTo()) {
    // It lost, unless a claim hidden by a gap lies between.
    if (isEntryInDoubt(*current)) {
      m_window.renewUncertain(key, now);
    }
    return;
  }
  if (!replaceOwner(offset, batch, key, now, events)) {
    return;
  }
  if (batch.owner() == m_self) {
    settleOwn(offset, batch, key, now, events);
  } else {
    settleOther(offset, batch, key, events);
  }
}

/// Enters the claim as the key's owner, not to be started here. False if there
/// is no room.
bool
ClaimTable::replaceOwner(Offset offset,
                         const ClaimBatch& batch,
                         const ClaimKey& key,
                         TimePoint now,
                         Events& events)
{
  const std::size_t room =
    m_limits.maxEntries + m_limits.maxEntries / reserveDivisor;
  const WindowEntry* current = m_window.find(key);
  if (current == nullptr && m_window.size() >= room) {
    enterDoubt(now, events);
    return false;
  }
  const ClaimStanding standing = batch.owner() == m_self
                                   ? ClaimStanding::Declined
                                   : ClaimStanding::Elsewhere;
  const bool isUncertain =
    isInDoubt(now) ||
    (current == nullptr ? batch.readUpTo() < m_window.forgottenUpTo()
                        : isEntryInDoubt(*current));
  m_window.put(key, batch.owner(), offset, standing, isUncertain, now);
  return true;
}

void
ClaimTable::settleOwn(Offset offset,
                      const ClaimBatch& batch,
                      const ClaimKey& key,
                      TimePoint now,
                      Events& events)
{
  const LocalClaim* local = m_local.find(key);
  if (local == nullptr || !isStartable(*local, now)) {
    return;
  }
  if (isEntryInDoubt(*m_window.find(key))) {
    m_local.remove(key);
    events.emplace_back(droppedInDoubt(key, m_limits.window));
    return;
  }
  if (batch.batchNumber() < local->firstBatch) {
    m_local.requeueToSupersede(key, offset);
    return;
  }
  m_local.hold(key);
  m_window.setStanding(key, ClaimStanding::Held);
  events.emplace_back(ClaimWon{ key.toSubmissionKey(), offset });
}

void
ClaimTable::settleOther(Offset offset,
                        const ClaimBatch& batch,
                        const ClaimKey& key,
                        Events& events)
{
  if (m_local.find(key) == nullptr) {
    return;
  }
  m_local.remove(key);
  events.emplace_back(
    ClaimLost{ key.toSubmissionKey(), batch.owner(), offset });
}

void
ClaimTable::caughtUp(TimePoint /*now*/)
{
  m_caughtUp = true;
}

bool
ClaimTable::isStartable(const LocalClaim& local, TimePoint now) const
{
  return now < local.submittedAt + m_limits.window;
}

bool
ClaimTable::mayStart(const SubmissionKey& key, TimePoint now) const
{
  const auto parsed = ClaimKey::parse(key);
  const LocalClaim* local = parsed ? m_local.find(*parsed) : nullptr;
  return local != nullptr && local->stage == LocalStage::Held &&
         isStartable(*local, now);
}

StartPermit
ClaimTable::start(const SubmissionKey& key, TimePoint now)
{
  const auto parsed = ClaimKey::parse(key);
  if (!parsed) {
    return StartPermit::NotOwned;
  }
  const LocalClaim* local = m_local.find(*parsed);
  if (local == nullptr || local->stage != LocalStage::Held) {
    const WindowEntry* owner = m_window.find(*parsed);
    const bool isStarted =
      owner != nullptr && owner->standing == ClaimStanding::Started;
    return isStarted ? StartPermit::AlreadyStarted : StartPermit::NotOwned;
  }
  if (!isStartable(*local, now)) {
    decline(*local);
    return StartPermit::Expired;
  }
  m_local.remove(*parsed);
  m_window.setStanding(*parsed, ClaimStanding::Started);
  return StartPermit::Granted;
}

bool
ClaimTable::giveUp(const SubmissionKey& key)
{
  const auto parsed = ClaimKey::parse(key);
  const LocalClaim* local = parsed ? m_local.find(*parsed) : nullptr;
  if (local == nullptr) {
    return false;
  }
  decline(*local);
  return true;
}

/// Ends a submission that never starts. Its claim is declined; one that has
/// not turned up yet will be, as nothing waits for it.
void
ClaimTable::decline(const LocalClaim& local)
{
  const ClaimKey key = local.key;
  if (local.stage == LocalStage::Held) {
    m_window.setStanding(key, ClaimStanding::Declined);
  }
  m_local.remove(key);
}

std::optional<OwnedElsewhere>
ClaimTable::owner(const SubmissionKey& key) const
{
  const auto parsed = ClaimKey::parse(key);
  const WindowEntry* entry = parsed ? m_window.find(*parsed) : nullptr;
  if (entry == nullptr) {
    return std::nullopt;
  }
  return OwnedElsewhere{ m_window.owner(*entry), entry->claim };
}

AskReply
ClaimTable::ask(const SubmissionKey& key, Offset claim) const
{
  const auto parsed = ClaimKey::parse(key);
  if (!parsed) {
    return AskReply::Unknown;
  }
  // A claim that was never read can never start.
  if (claim >= m_lastGap.begin && claim < m_lastGap.end) {
    return AskReply::Declined;
  }
  const WindowEntry* owner = m_window.find(*parsed);
  if (owner == nullptr || owner->claim != claim) {
    return AskReply::Unknown;
  }
  switch (owner->standing) {
    case ClaimStanding::Elsewhere:
      return AskReply::Unknown;
    case ClaimStanding::Held:
    case ClaimStanding::Started:
      return AskReply::Held;
    case ClaimStanding::Declined:
      break;
  }
  return AskReply::Declined;
}

ClaimDecision
ClaimTable::ownerDeclined(const SubmissionKey& key,
                          const Incarnation& owner,
                          Offset claim,
                          TimePoint now)
{
  const auto parsed = ClaimKey::parse(key);
  const WindowEntry* current = parsed ? m_window.find(*parsed) : nullptr;
  const bool isCurrent =
    m_caughtUp && current != nullptr && current->claim == claim &&
    m_window.owner(*current) == owner && m_local.find(*parsed) == nullptr;
  if (!isCurrent) {
    return submit(key, now);
  }
  if (isEntryInDoubt(*current)) {
    return refuseInDoubt(current->readAt + m_limits.window, now);
  }
  return enqueue(*parsed, claim, now);
}

std::vector<ClaimEvent>
ClaimTable::expire(TimePoint now)
{
  Events events;
  while (m_local.oldest() != nullptr && !isStartable(*m_local.oldest(), now)) {
    events.emplace_back(droppedTooLate(m_local.oldest()->key));
    decline(*m_local.oldest());
  }
  while (m_window.oldest() != nullptr &&
         m_window.oldest()->readAt + m_limits.window <= now) {
    m_window.removeOldest();
  }
  return events;
}

ClaimTableStats
ClaimTable::stats(TimePoint now) const
{
  ClaimTableStats stats;
  stats.remembered = m_window.size();
  stats.local = m_local.size();
  stats.queued = m_local.queued();
  stats.readUpTo = m_readUpTo;
  stats.unreadable = m_unreadable;
  stats.gaps = m_gaps;
  stats.caughtUp = m_caughtUp;
  stats.inDoubt = isInDoubt(now);
  return stats;
}

} // namespace cowslippin
