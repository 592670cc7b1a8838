#pragma once

#include "libhttp/http.h"
#include "submissionrequest.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace cowslippin {

/// Where a submission stands at this daemon.
enum class SubmissionPhase
{
  /// Its claim is not settled yet.
  Claiming,
  /// Its tasks wait or run here.
  Active,
  /// It has its final reply.
  Ended,
  /// Another daemon owns it; this one holds nothing of it.
  Elsewhere,
};

/// Which daemon owns a submission, and by which claim. The offset is 0 for a
/// ticket.
struct OwnerRef
{
  Incarnation owner;
  Offset claim = 0;

  friend bool operator==(const OwnerRef& a, const OwnerRef& b)
  {
    return a.owner == b.owner && a.claim == b.claim;
  }
  friend bool operator!=(const OwnerRef& a, const OwnerRef& b)
  {
    return !(a == b);
  }
};

/// How far a submission has come.
struct SubmissionProgress
{
  SubmissionPhase phase = SubmissionPhase::Claiming;
  std::size_t tasks = 0;
  std::size_t started = 0;
  std::size_t finished = 0;
  bool failed = false;
  bool cancelled = false;
};

/// One submission at this daemon, from its arrival to its final reply. It ends
/// exactly once, with the whole answer or with a problem, and everybody who
/// waits for it is given that one reply. Thread-safe.
class Submission
{
public:
  /// Asked once, before the first task starts: whether this daemon may start
  /// the submission's work. Empty stands for yes.
  using StartPermission = std::function<bool()>;

  /// Told the final reply.
  using EndHook = std::function<void(const HttpReply&)>;

  Submission(const SubmissionRequest& request, StartPermission permission);

  /// What was submitted, without the payloads, which are dropped at the end.
  const SubmissionRequest& request() const { return m_request; }
  SubmissionProgress progress() const;

  /// The claim was won, or none is needed: tasks may be dispatched. False when
  /// it has ended before.
  bool activate();

  /// Another daemon owns it; whoever waits must ask there.
  void moveElsewhere(OwnerRef owner);

  /// The owner, when it is elsewhere.
  std::optional<OwnerRef> elsewhere() const;

  /// The body of a task that may be sent to an endpoint now; it then counts as
  /// started. Nothing if the task must not start.
  std::optional<std::string> startTask(TaskIndex index);

  /// The task surely did not start after all.
  void taskNotStarted();

  /// Takes in the end of a task. True if the submission ended by it without
  /// all tasks having been answered, so that the rest should be cancelled.
  bool finishTask(TaskIndex index, TaskOutcome outcome);

  /// Ends it with a problem, unless it has ended. The problem's run state is
  /// corrected to `may have run` when a task has started.
  bool fail(const Problem& problem);

  /// Ends it as cancelled, unless it has ended.
  bool cancel();

  /// The final reply, or nothing while it has not ended.
  std::optional<HttpReply> reply() const;

  /// The problem it ended with, if it ended with one.
  std::optional<Problem> problem() const;

  /// The status document that callers poll, with this HTTP status.
  HttpReply statusReply(int status) const;

  /// Waits until the claim is settled one way or the other.
  bool waitSettled(TimePoint until) const;

  /// Waits until it has ended or moved elsewhere.
  bool waitEnded(TimePoint until) const;

  /// Calls `hook` once it has ended, at once if it has; on the ending thread.
  void whenEnded(const EndHook& hook);

  /// Notes that a caller was given the final reply.
  void setFetched() { m_fetched = true; }

  /// Whether it is a job whose caller has not come for the answer yet.
  bool isUnfetched() const
  {
    return m_request.kind() == SubmissionKind::Job && !m_fetched;
  }

  /// Forgets the answer, to save memory; from then on the reply says so.
  void expireAnswer();

  /// Bytes that the final reply takes.
  std::size_t replySize() const;

private:
  struct Ending
  {
    HttpReply reply;
    std::vector<EndHook> hooks;
  };

  std::optional<Ending> endWith(HttpReply reply,
                                std::optional<Problem> problem);
  std::optional<Ending> endWithProblem(const Problem& problem);
  HttpReply answerReply() const;
  Problem failureOf(const Problem& taskProblem) const;
  void run(std::optional<Ending> ending);

  const SubmissionRequest m_request;
  const StartPermission m_permission;
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  SubmissionProgress m_progress;
  bool m_permitted = false;
  std::atomic<bool> m_fetched{ false };
  std::vector<std::string> m_payloads;
  std::vector<std::optional<TaskAnswer>> m_answers;
  std::optional<HttpReply> m_reply;
  std::optional<Problem> m_problem;
  std::optional<OwnerRef> m_elsewhere;
  std::vector<EndHook> m_hooks;
};

/// The words of the status document for a submission's progress.
std::string_view
stateWord(const SubmissionProgress& progress);

} // namespace cowslippin
