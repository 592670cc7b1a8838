#include "submissionservice.h"

#include "incarnations.h"
#include "submissionproblems.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// What an ended call may still need to be told to its submission.
constexpr Duration endingGrace = std::chrono::milliseconds(250);
/// How much later than the owner this daemon may read a claim.
constexpr Duration claimReadingPatience = std::chrono::milliseconds(300);
constexpr Duration knowledgePatience = std::chrono::milliseconds(200);
constexpr Duration ownerPatience = std::chrono::seconds(5);

/// Whether a refusal of this kind is given while it is not known who owns the
/// key.
bool
isFromBeforeTheClaim(ProblemKind kind)
{
  return kind == ProblemKind::PlatformUnavailable ||
         kind == ProblemKind::NotCaughtUp || kind == ProblemKind::Draining;
}

bool
wasRefused(const Submission& submission)
{
  const auto problem = submission.problem();
  return problem && problem->ran() == RunState::NotRun &&
         problem->kind() != ProblemKind::Cancelled;
}

} // namespace

SubmissionService::SubmissionService(Settings settings,
                                     ClaimService& claims,
                                     TaskRunner& runner,
                                     RemoteOwner& owners,
                                     Metrics& metrics)
  : m_settings(std::move(settings))
  , m_claims(claims)
  , m_runner(runner)
  , m_owners(owners)
  , m_accepted(metrics.counter("submissionsAccepted"))
  , m_refused(metrics.counter("submissionsNotRun"))
  , m_attached(metrics.counter("submissionsAskedOfOwner"))
  , m_store(m_settings.store)
  , m_ticketIssuer(m_settings.self)
  , m_ticketBook(m_ticketIssuer)
{
}

HttpReply
SubmissionService::submit(const SubmissionRequest& request, bool waitForEnd)
{
  switch (request.ownership()) {
    case Ownership::None:
      return submitUnclaimed(request, waitForEnd);
    case Ownership::Ticket:
      return submitTicketed(request, waitForEnd);
    case Ownership::Claim:
      break;
  }
  return submitClaimed(request, waitForEnd);
}

HttpReply
SubmissionService::submitUnclaimed(const SubmissionRequest& request,
                                   bool waitForEnd)
{
  if (m_draining) {
    return problemReply(drainingProblem());
  }
  const SubmissionPtr submission = makeSubmission(request, {});
  m_store.add(submission);
  run(submission);
  return replyFor(submission, waitForEnd, request.deadline());
}

HttpReply
SubmissionService::submitTicketed(const SubmissionRequest& request,
                                  bool waitForEnd)
{
  const auto ticket = parseTicket(request.key().value());
  if (!ticket) {
    return problemReply(ticket.error());
  }
  if (ticket->issuer() != m_settings.self) {
    m_attached.add();
    return m_owners.submit(ticket->issuer(), request, waitForEnd);
  }
  const auto submission = takeTicketed(request);
  if (!submission) {
    return problemReply(submission.error());
  }
  return replyFor(*submission, waitForEnd, request.deadline());
}

Result<SubmissionService::SubmissionPtr>
SubmissionService::takeTicketed(const SubmissionRequest& request)
{
  const SubmissionPtr existing = m_store.find(request.key());
  if (!existing) {
    return useTicket(request);
  }
  if (existing->request().fingerprint() != request.fingerprint()) {
    return failure(keyReused());
  }
  return rerunIfRefused(request, existing);
}

Result<SubmissionService::SubmissionPtr>
SubmissionService::useTicket(const SubmissionRequest& request)
{
  const auto ticket = parseTicket(request.key().value());
  if (!ticket) {
    return failure(ticket.error());
  }
  if (m_draining) {
    return failure(drainingProblem());
  }
  const SubmissionPtr submission = makeSubmission(request, {});
  const TicketUse use = [&] {
    const std::lock_guard lock(m_ticketMutex);
    TicketUse made = m_ticketBook.use(*ticket);
    if (std::holds_alternative<FirstUse>(made)) {
      m_store.add(submission);
    }
    return made;
  }();
  if (std::holds_alternative<FirstUse>(use)) {
    run(submission);
    return submission;
  }
  if (std::holds_alternative<NotIssued>(use) ||
      std::holds_alternative<OtherIssuer>(use)) {
    return failure(Problem::invalidField(
      "Idempotency-Key", request.key().value(), "a ticket that was issued"));
  }
  // Another thread may have used it just now.
  const SubmissionPtr again = m_store.find(request.key());
  if (again && std::holds_alternative<UsedBefore>(use)) {
    return again;
  }
  return failure(answerExpired());
}

HttpReply
SubmissionService::submitClaimed(const SubmissionRequest& request,
                                 bool waitForEnd)
{
  const SubmissionKey& key = request.key();
  SubmissionPtr submission = m_store.find(key);
  if (submission) {
    if (submission->request().fingerprint() == request.fingerprint()) {
      submission = rerunIfRefused(request, submission);
    }
  } else if (m_draining && !m_claims.owner(key)) {
    return problemReply(toldTruly(drainingProblem(), key));
  } else {
    submission = claim(request, [&] { return m_claims.submit(key); });
  }
  return followClaimed(request, submission, waitForEnd);
}

HttpReply
SubmissionService::followClaimed(const SubmissionRequest& request,
                                 SubmissionPtr submission,
                                 bool waitForEnd)
{
  for (;;) {
    if (submission->request().fingerprint() != request.fingerprint()) {
      return problemReply(keyReused());
    }
    awaitClaim(submission);
    const auto owner = submission->elsewhere();
    if (!owner) {
      const auto problem = submission->problem();
      if (problem && isFromBeforeTheClaim(problem->kind())) {
        return problemReply(toldTruly(*problem, request.key()));
      }
      return replyFor(submission, waitForEnd, request.deadline());
    }
    m_attached.add();
    const OwnerOperation operation =
      waitForEnd ? OwnerOperation::Attach : OwnerOperation::Resubmit;
    const OwnerAnswer answer =
      m_owners.ask(*owner, request.key(), operation, request.deadline());
    if (const auto* said = std::get_if<OwnerSays>(&answer)) {
      return said->reply;
    }
    if (m_draining) {
      return problemReply(drainingProblem());
    }
    submission = claim(request, [&] {
      return m_claims.ownerDeclined(request.key(), owner->owner, owner->claim);
    });
  }
}

SubmissionService::SubmissionPtr
SubmissionService::claim(const SubmissionRequest& request,
                         const std::function<ClaimDecision()>& decide)
{
  const SubmissionKey& key = request.key();
  const SubmissionPtr submission = makeSubmission(request, [this, key] {
    return m_claims.startWork(key) == StartPermit::Granted;
  });
  SubmissionPtr stored = m_store.add(submission);
  if (stored == submission) {
    settle(submission, decide());
  }
  return stored;
}

void
SubmissionService::settle(const SubmissionPtr& submission,
                          const ClaimDecision& decision)
{
  if (const auto* elsewhere = std::get_if<OwnedElsewhere>(&decision)) {
    m_store.remove(submission);
    submission->moveElsewhere({ elsewhere->owner, elsewhere->claim });
  } else if (const auto* refused = std::get_if<ClaimRefused>(&decision)) {
    submission->fail(refused->problem);
  } else if (std::holds_alternative<OwnedHere>(decision)) {
    submission->fail(answerExpired());
  }
}

void
SubmissionService::awaitClaim(const SubmissionPtr& submission) const
{
  const TimePoint patience = steadyNow() + m_settings.claimPatience;
  const TimePoint until = std::min(patience, submission->request().deadline());
  if (submission->waitSettled(until)) {
    return;
  }
  submission->fail(notClaimedInTime());
}

SubmissionService::SubmissionPtr
SubmissionService::rerunIfRefused(const SubmissionRequest& request,
                                  const SubmissionPtr& existing)
{
  if (!wasRefused(*existing) || m_draining) {
    return existing;
  }
  const SubmissionKey& key = request.key();
  Submission::StartPermission permission;
  if (request.ownership() == Ownership::Claim) {
    // The claim may count as started, although nothing ran under it.
    permission = [this, key] {
      const StartPermit permit = m_claims.startWork(key);
      return permit == StartPermit::Granted ||
             permit == StartPermit::AlreadyStarted;
    };
  }
  SubmissionPtr next = makeSubmission(request, std::move(permission));
  if (!m_store.replace(existing, next)) {
    return existing;
  }
  run(next);
  return next;
}

Problem
SubmissionService::toldTruly(const Problem& refusal,
                             const SubmissionKey& key) const
{
  if (refusal.ran() != RunState::NotRun || isUnknownElsewhere(key)) {
    return refusal;
  }
  return mayHaveRunBefore(refusal);
}

bool
SubmissionService::isUnknownElsewhere(const SubmissionKey& key) const
{
  const auto others = m_settings.otherVms();
  return others &&
         m_owners.isUnknownToAll(*others, key, steadyNow() + knowledgePatience);
}

HttpReply
SubmissionService::replyFor(const SubmissionPtr& submission,
                            bool waitForEnd,
                            TimePoint deadline) const
{
  if (waitForEnd) {
    submission->waitEnded(deadline + endingGrace);
  }
  const auto reply = submission->reply();
  if (reply && (waitForEnd || submission->problem())) {
    submission->setFetched();
    return *reply;
  }
  if (!waitForEnd) {
    return submission->statusReply(202);
  }
  return problemReply(notEndedYet());
}

SubmissionService::SubmissionPtr
SubmissionService::makeSubmission(const SubmissionRequest& request,
                                  Submission::StartPermission permission)
{
  auto submission =
    std::make_shared<Submission>(request, std::move(permission));
  const std::weak_ptr<Submission> weak = submission;
  submission->whenEnded([this, weak](const HttpReply& /*reply*/) {
    if (const SubmissionPtr ended = weak.lock()) {
      submissionEnded(ended);
    }
  });
  return submission;
}

void
SubmissionService::run(const SubmissionPtr& submission)
{
  if (!submission->activate()) {
    return;
  }
  if (const auto problem = m_runner.submit(submission)) {
    submission->fail(*problem);
    return;
  }
  m_accepted.add();
}

void
SubmissionService::submissionEnded(const SubmissionPtr& submission)
{
  const SubmissionKey& key = submission->request().key();
  const bool refused = wasRefused(*submission);
  if (refused) {
    m_refused.add();
  }
  switch (submission->request().ownership()) {
    case Ownership::None:
      m_store.remove(submission);
      return;
    case Ownership::Ticket:
      break;
    case Ownership::Claim:
      // Declined, another daemon may take the key over.
      if (refused && (m_claims.giveUp(key) || !m_claims.isOwner(key))) {
        m_store.remove(submission);
        return;
      }
      break;
  }
  m_store.ended(submission, steadyNow());
}

void
SubmissionService::claimsEnded(const std::vector<ClaimEvent>& events)
{
  for (const ClaimEvent& event : events) {
    if (const auto* won = std::get_if<ClaimWon>(&event)) {
      claimWon(*won);
    } else if (const auto* lost = std::get_if<ClaimLost>(&event)) {
      claimLost(*lost);
    } else {
      claimDropped(std::get<ClaimDropped>(event));
    }
  }
}

void
SubmissionService::claimWon(const ClaimWon& won)
{
  const SubmissionPtr submission = m_store.find(won.key);
  if (submission) {
    run(submission);
  } else {
    m_claims.giveUp(won.key);
  }
}

void
SubmissionService::claimLost(const ClaimLost& lost)
{
  const SubmissionPtr submission = m_store.find(lost.key);
  if (submission) {
    m_store.remove(submission);
    submission->moveElsewhere({ lost.owner, lost.claim });
  }
}

void
SubmissionService::claimDropped(const ClaimDropped& dropped)
{
  if (const SubmissionPtr submission = m_store.find(dropped.key)) {
    submission->fail(dropped.problem);
  }
}

std::vector<Ticket>
SubmissionService::issueTickets(std::size_t count)
{
  const std::lock_guard lock(m_ticketMutex);
  return m_ticketIssuer.issue(count);
}

HttpReply
SubmissionService::status(const SubmissionKey& key)
{
  if (const SubmissionPtr submission = m_store.find(key)) {
    return submission->statusReply(200);
  }
  return askOwner(key, OwnerOperation::Status, steadyNow() + ownerPatience);
}

HttpReply
SubmissionService::answer(const SubmissionKey& key, Duration wait)
{
  if (const SubmissionPtr submission = m_store.find(key)) {
    submission->waitEnded(steadyNow() + wait);
    const auto reply = submission->reply();
    if (!reply) {
      return submission->statusReply(202);
    }
    submission->setFetched();
    return *reply;
  }
  if (wait > Duration::zero()) {
    HttpReply reply = askOwner(key, OwnerOperation::Attach, steadyNow() + wait);
    if (reply.status() != httpStatus(ProblemKind::DeadlineExceeded)) {
      return reply;
    }
  }
  return askOwner(key, OwnerOperation::Answer, steadyNow() + ownerPatience);
}

HttpReply
SubmissionService::cancel(const SubmissionKey& key)
{
  if (const SubmissionPtr submission = m_store.find(key)) {
    return cancelHere(submission);
  }
  return askOwner(key, OwnerOperation::Cancel, steadyNow() + ownerPatience);
}

HttpReply
SubmissionService::cancelHere(const SubmissionPtr& submission)
{
  submission->setFetched();
  if (submission->cancel()) {
    m_runner.cancel(submission->request().key());
  }
  const auto problem = submission->problem();
  if (!problem || problem->kind() != ProblemKind::Cancelled) {
    return submission->statusReply(200);
  }
  const nlohmann::json json = {
    { "job", submission->request().key().value() },
    { "state", "cancelled" },
    { "ran", std::string(toString(problem->ran())) },
  };
  return HttpReply::json(200, writeJson(json));
}

std::optional<OwnerRef>
SubmissionService::ownerOf(const SubmissionKey& key) const
{
  if (looksLikeTicket(key.value())) {
    const auto ticket = parseTicket(key.value());
    if (!ticket) {
      return std::nullopt;
    }
    return OwnerRef{ ticket->issuer(), 0 };
  }
  const auto owner =
    m_claims.awaitOwner(key, steadyNow() + claimReadingPatience);
  if (!owner) {
    return std::nullopt;
  }
  return OwnerRef{ owner->owner, owner->claim };
}

HttpReply
SubmissionService::askOwner(const SubmissionKey& key,
                            OwnerOperation operation,
                            TimePoint until) const
{
  const auto owner = ownerOf(key);
  if (!owner && !m_claims.isCaughtUp()) {
    return problemReply(notCaughtUp());
  }
  if (!owner || owner->owner == m_settings.self) {
    return problemReply(unknownJob(key));
  }
  const OwnerAnswer answer = m_owners.ask(*owner, key, operation, until);
  if (const auto* said = std::get_if<OwnerSays>(&answer)) {
    return said->reply;
  }
  return problemReply(unknownJob(key));
}

OwnerResult
SubmissionService::knowledgeOf(const SubmissionKey& key,
                               const Incarnation& asker) const
{
  // A claim of the asker's own is no news to it.
  const auto owner = m_claims.owner(key);
  const bool isOwned = owner && owner->owner != asker;
  return m_store.find(key) || isOwned ? OwnerResult::Found
                                      : OwnerResult::Unknown;
}

OwnerResult
SubmissionService::standingOf(const OwnerCall& call) const
{
  if (looksLikeTicket(call.key().value())) {
    return m_store.find(call.key()) ? OwnerResult::Found : OwnerResult::Unknown;
  }
  switch (m_claims.ask(call.key(), call.claimOffset())) {
    case AskReply::Held:
      return OwnerResult::Found;
    case AskReply::Declined:
      return OwnerResult::Declined;
    case AskReply::Unknown:
      break;
  }
  return OwnerResult::Unknown;
}

void
SubmissionService::submitCalled(const SubmissionRequest& request,
                                bool waitForEnd,
                                std::uint64_t requestId,
                                std::function<void(const OwnerReply&)> reply)
{
  const auto submission = takeTicketed(request);
  if (!submission) {
    reply(ownerReplyOf(requestId, problemReply(submission.error())));
  } else if (waitForEnd) {
    (*submission)->setFetched();
    (*submission)
      ->whenEnded(
        [requestId, reply = std::move(reply)](const HttpReply& ended) {
          reply(ownerReplyOf(requestId, ended));
        });
  } else {
    reply(ownerReplyOf(requestId,
                       replyFor(*submission, false, request.deadline())));
  }
}

void
SubmissionService::ownerCalled(const Incarnation& asker,
                               const OwnerCall& call,
                               std::function<void(const OwnerReply&)> reply)
{
  const std::uint64_t id = call.requestId();
  const OwnerResult standing = call.operation() == OwnerOperation::Know
                                 ? knowledgeOf(call.key(), asker)
                                 : standingOf(call);
  if (standing != OwnerResult::Found) {
    OwnerReply::Fields fields;
    fields.requestId = id;
    fields.result = standing;
    reply(OwnerReply(std::move(fields)));
    return;
  }
  const SubmissionPtr submission = m_store.find(call.key());
  if (!submission) {
    reply(ownerReplyOf(id, problemReply(answerExpired())));
    return;
  }
  switch (call.operation()) {
    case OwnerOperation::Know:
      reply(ownerReplyOf(id, submission->statusReply(200)));
      return;
    case OwnerOperation::Attach:
      submission->setFetched();
      submission->whenEnded(
        [id, reply = std::move(reply)](const HttpReply& ended) {
          reply(ownerReplyOf(id, ended));
        });
      return;
    case OwnerOperation::Resubmit:
      reply(ownerReplyOf(id, replyFor(submission, false, steadyNow())));
      return;
    case OwnerOperation::Status:
      reply(ownerReplyOf(id, submission->statusReply(200)));
      return;
    case OwnerOperation::Answer:
      if (submission->reply()) {
        submission->setFetched();
      }
      reply(ownerReplyOf(
        id, submission->reply().value_or(submission->statusReply(202))));
      return;
    case OwnerOperation::Cancel:
      reply(ownerReplyOf(id, cancelHere(submission)));
      return;
  }
}

} // namespace cowslippin
