#pragma once

#include "claimservice.h"
#include "remoteowner.h"
#include "submissionstore.h"
#include "taskrunner.h"

#include <atomic>
#include <mutex>

namespace cowslippin {

/// Serves submissions: decides by claim or ticket whether this daemon owns
/// one, runs what it owns, and asks the owner for what it does not.
/// Thread-safe; the calls made for callers block.
class SubmissionService
{
public:
  struct Settings
  {
    Incarnation self;
    SubmissionStore::Limits store;
    /// How long a claim may take to be settled before the submission is given
    /// up as not run.
    Duration claimPatience = std::chrono::seconds(2);
    /// The other VMs that run daemons, or nothing while they are not known.
    std::function<std::optional<std::vector<VmId>>()> otherVms;
  };

  SubmissionService(Settings settings,
                    ClaimService& claims,
                    TaskRunner& runner,
                    RemoteOwner& owners,
                    Metrics& metrics);

  /// Takes a submission, or attaches its caller to the one that is there under
  /// its key. Returns the final reply if `waitForEnd`, else the status as soon
  /// as it is owned.
  HttpReply submit(const SubmissionRequest& request, bool waitForEnd);

  /// The status document of a job, wherever it is owned.
  HttpReply status(const SubmissionKey& key);

  /// The answer of a job if it comes within `wait`, else its status.
  HttpReply answer(const SubmissionKey& key, Duration wait);

  /// Cancels a job. Its final reply, which says whether anything ran.
  HttpReply cancel(const SubmissionKey& key);

  /// New tickets.
  std::vector<Ticket> issueTickets(std::size_t count);

  /// Takes in how claims were settled.
  void claimsEnded(const std::vector<ClaimEvent>& events);

  /// The peer that runs as `asker` asks about a submission that this daemon may
  /// own; `reply` is called once, maybe later and on another thread.
  void ownerCalled(const Incarnation& asker,
                   const OwnerCall& call,
                   std::function<void(const OwnerReply&)> reply);

  /// A peer hands over a submission under a ticket of this daemon. `reply` as
  /// for `ownerCalled`; nothing here blocks.
  void submitCalled(const SubmissionRequest& request,
                    bool waitForEnd,
                    std::uint64_t requestId,
                    std::function<void(const OwnerReply&)> reply);

  /// From now on new submissions are refused; what is there goes on.
  void startDraining() { m_draining = true; }
  bool isDraining() const { return m_draining.load(); }

  /// Submissions that have not ended.
  std::size_t live() const { return m_store.live(); }

  /// Ended jobs whose answers nobody has fetched yet.
  std::size_t unfetched() const { return m_store.unfetched(); }

  /// Drops what is older than the window; to be called now and then.
  void expire() { m_store.expire(steadyNow()); }

  const SubmissionStore& store() const { return m_store; }

private:
  using SubmissionPtr = std::shared_ptr<Submission>;

  SubmissionPtr makeSubmission(const SubmissionRequest& request,
                               Submission::StartPermission permission);
  HttpReply submitUnclaimed(const SubmissionRequest& request, bool waitForEnd);
  HttpReply submitTicketed(const SubmissionRequest& request, bool waitForEnd);
  HttpReply submitClaimed(const SubmissionRequest& request, bool waitForEnd);
  Result<SubmissionPtr> takeTicketed(const SubmissionRequest& request);
  Result<SubmissionPtr> useTicket(const SubmissionRequest& request);
  HttpReply followClaimed(const SubmissionRequest& request,
                          SubmissionPtr submission,
                          bool waitForEnd);
  SubmissionPtr claim(const SubmissionRequest& request,
                      const std::function<ClaimDecision()>& decide);
  void settle(const SubmissionPtr& submission, const ClaimDecision& decision);
  void awaitClaim(const SubmissionPtr& submission) const;
  SubmissionPtr rerunIfRefused(const SubmissionRequest& request,
                               const SubmissionPtr& existing);
  Problem toldTruly(const Problem& refusal, const SubmissionKey& key) const;
  bool isUnknownElsewhere(const SubmissionKey& key) const;
  HttpReply replyFor(const SubmissionPtr& submission,
                     bool waitForEnd,
                     TimePoint deadline) const;
  void run(const SubmissionPtr& submission);
  void submissionEnded(const SubmissionPtr& submission);
  void claimWon(const ClaimWon& won);
  void claimLost(const ClaimLost& lost);
  void claimDropped(const ClaimDropped& dropped);
  std::optional<OwnerRef> ownerOf(const SubmissionKey& key) const;
  HttpReply askOwner(const SubmissionKey& key,
                     OwnerOperation operation,
                     TimePoint until) const;
  HttpReply cancelHere(const SubmissionPtr& submission);
  OwnerResult knowledgeOf(const SubmissionKey& key,
                          const Incarnation& asker) const;
  OwnerResult standingOf(const OwnerCall& call) const;

  const Settings m_settings;
  ClaimService& m_claims;
  TaskRunner& m_runner;
  RemoteOwner& m_owners;
  Counter& m_accepted;
  Counter& m_refused;
  Counter& m_attached;
  SubmissionStore m_store;
  std::mutex m_ticketMutex;
  TicketIssuer m_ticketIssuer;
  TicketBook m_ticketBook;
  std::atomic<bool> m_draining{ false };
};

} // namespace cowslippin
