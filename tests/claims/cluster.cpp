#include "cluster.h"

namespace cowslippin {

namespace {

ClaimLimits
limits()
{
  ClaimLimits limits;
  limits.window = Cluster::window;
  limits.retention = Duration(0);
  limits.maxBatchEntries = 2;
  return limits;
}

SubmissionKey
keyOf(unsigned index)
{
  return SubmissionKey(std::string(32, static_cast<char>('a' + index)));
}

Incarnation
incarnation(unsigned number)
{
  return Incarnation("d" + std::to_string(number));
}

} // namespace

Cluster::Daemon::Daemon(const Incarnation& name)
  : name(name)
  , table(name, limits())
{
}

Cluster::Cluster()
{
  for (unsigned i = 0; i < daemonCount; ++i) {
    m_daemons.emplace_back(incarnation(m_incarnations++));
    m_daemons.back().table.caughtUp(m_now);
  }
}

void
Cluster::run(const Schedule& schedule)
{
  for (const Step& step : schedule) {
    apply(step);
    if (!m_violation.empty()) {
      return;
    }
  }
}

void
Cluster::apply(const Step& step)
{
  Daemon& daemon = m_daemons[step.daemon];
  const SubmissionKey key = keyOf(step.key);
  switch (step.kind) {
    case StepKind::Submit:
      return submit(daemon, key);
    case StepKind::Append:
      return append(daemon, step.choice);
    case StepKind::LandLate:
      return landLate(step.choice);
    case StepKind::Read:
      return read(daemon, step.choice + 1);
    case StepKind::GiveUp:
      return giveUp(daemon, key);
    case StepKind::Start:
      return start(daemon, key);
    case StepKind::DeliverDecline:
      return deliverDecline(daemon, step.choice);
    case StepKind::Restart:
      return restart(daemon);
    case StepKind::Advance:
      return advance(daemon, step.choice);
    case StepKind::DropRecords:
      return dropRecords(step.choice);
  }
}

void
Cluster::submit(Daemon& daemon, const SubmissionKey& key)
{
  const ClaimDecision decision = daemon.table.submit(key, m_now);
  submitted(daemon, key, decision);
  if (const auto* owned = std::get_if<OwnedElsewhere>(&decision)) {
    ask(key, *owned);
  }
}

void
Cluster::submitted(Daemon& daemon,
                   const SubmissionKey& key,
                   const ClaimDecision& decision)
{
  if (std::holds_alternative<ClaimQueued>(decision)) {
    daemon.submissions[key] = m_submissions.size();
    m_submissions.push_back({ key, m_now });
  }
}

void
Cluster::ask(const SubmissionKey& key, const OwnedElsewhere& owned)
{
  for (const Daemon& owner : m_daemons) {
    if (owner.name == owned.owner &&
        owner.table.ask(key, owned.claim) == AskReply::Declined) {
      m_declines.push_back({ key, owned.owner, owned.claim });
      m_declined.insert(m_declines.back());
    }
  }
}

void
Cluster::append(Daemon& daemon, unsigned choice)
{
  if (daemon.append) {
    daemon.table.appendEnded(
      daemon.append->batchNumber, daemon.append->end, m_now);
    daemon.append.reset();
    return;
  }
  const auto batch = daemon.table.takeBatch(m_now);
  if (!batch) {
    return;
  }
  const Sent sent{ *batch, daemon.submissions };
  const std::uint64_t number = batch->batchNumber();
  switch (choice % 5) {
    case 0:
    case 1:
      m_log.push_back(sent);
      daemon.append = Append{ number, AppendEnd::Appended };
      break;
    case 2:
      m_log.push_back(sent);
      daemon.append = Append{ number, AppendEnd::Unknown };
      break;
    case 3:
      m_limbo.push_back(sent);
      daemon.append = Append{ number, AppendEnd::Unknown };
      break;
    default:
      daemon.append = Append{ number, AppendEnd::NotAppended };
  }
}

void
Cluster::landLate(unsigned choice)
{
  if (m_limbo.empty()) {
    return;
  }
  const std::size_t index = choice % m_limbo.size();
  m_log.push_back(m_limbo[index]);
  m_limbo.erase(m_limbo.begin() + static_cast<std::ptrdiff_t>(index));
}

void
Cluster::read(Daemon& daemon, unsigned records)
{
  if (daemon.readUpTo + 1 < m_first) {
    handle(daemon, daemon.table.skippedTo(m_first, m_now));
    daemon.readUpTo = m_first - 1;
  }
  while (records > 0 && daemon.readUpTo < m_log.size()) {
    const ClaimBatch& batch = m_log[daemon.readUpTo++].batch;
    handle(daemon, daemon.table.recordRead(daemon.readUpTo, batch, m_now));
    --records;
  }
  if (daemon.readUpTo == m_log.size()) {
    daemon.table.caughtUp(m_now);
  }
}

void
Cluster::giveUp(Daemon& daemon, const SubmissionKey& key)
{
  if (daemon.table.giveUp(key)) {
    tellNotRun(daemon, key);
  }
}

void
Cluster::start(Daemon& daemon, const SubmissionKey& key)
{
  const bool mayStart = daemon.table.mayStart(key, m_now);
  const StartPermit permit = daemon.table.start(key, m_now);
  require(mayStart == (permit == StartPermit::Granted), "mayStart tells it");
  if (permit == StartPermit::Granted) {
    started(daemon, key);
  }
  if (permit == StartPermit::Expired) {
    tellNotRun(daemon, key);
  }
}

void
Cluster::started(Daemon& daemon, const SubmissionKey& key)
{
  const std::size_t index = daemon.submissions.at(key);
  Submission& submission = m_submissions[index];
  const Offset claim = daemon.held.at(key);
  const Sent& sent = m_log[claim - 1];
  require(sent.batch.owner() == daemon.name, "an owner starts its own claim");
  require(sent.submissions.at(key) == index,
          "a claim serves the submission it was made for");
  require(!submission.toldNotRun, "what was told 'not run' never starts");
  require(m_declined.count({ key, daemon.name, claim }) == 0,
          "a declined claim never starts");
  require(!submission.isStarted, "a submission starts once");
  for (const Submission& other : m_submissions) {
    const Duration apart = submission.arrived > other.arrived
                             ? submission.arrived - other.arrived
                             : other.arrived - submission.arrived;
    require(other.key != key || !other.isStarted || apart >= window,
            "submissions of a key within a window start once");
  }
  submission.isStarted = true;
  ++m_starts;
  for (const ClaimEntry& entry : sent.batch.entries()) {
    const bool isKey = entry.key.toSubmissionKey() == key;
    m_supersededStarts += isKey && entry.supersedes ? 1 : 0;
  }
}

void
Cluster::deliverDecline(Daemon& daemon, unsigned choice)
{
  if (m_declines.empty()) {
    return;
  }
  const Decline& decline = m_declines[choice % m_declines.size()];
  submitted(daemon,
            decline.key,
            daemon.table.ownerDeclined(
              decline.key, decline.owner, decline.claim, m_now));
}

void
Cluster::restart(Daemon& daemon)
{
  daemon = Daemon(incarnation(m_incarnations++));
}

void
Cluster::advance(Daemon& daemon, unsigned choice)
{
  m_now += window * (choice + 1) / 5;
  handle(daemon, daemon.table.expire(m_now));
}

void
Cluster::dropRecords(unsigned choice)
{
  if (m_first + choice <= m_log.size() + 1) {
    m_first += choice;
  }
}

void
Cluster::handle(Daemon& daemon, const std::vector<ClaimEvent>& events)
{
  for (const ClaimEvent& event : events) {
    if (const auto* won = std::get_if<ClaimWon>(&event)) {
      daemon.held[won->key] = won->claim;
    }
    const auto* dropped = std::get_if<ClaimDropped>(&event);
    if (dropped != nullptr && dropped->problem.ran() == RunState::NotRun) {
      tellNotRun(daemon, dropped->key);
    }
  }
}

void
Cluster::tellNotRun(Daemon& daemon, const SubmissionKey& key)
{
  Submission& submission = m_submissions[daemon.submissions.at(key)];
  require(!submission.isStarted, "nothing that started is told 'not run'");
  submission.toldNotRun = true;
}

void
Cluster::require(bool condition, const std::string& rule)
{
  if (!condition && m_violation.empty()) {
    m_violation = rule;
  }
}

} // namespace cowslippin
