#include "submissionproblems.h"

namespace cowslippin {

namespace {

/// When to come back: another daemon takes over within a second, a daemon that
/// starts has read the log in about one, and an owner answers sooner.
constexpr Duration drainRetry = std::chrono::seconds(1);
constexpr Duration catchUpRetry = std::chrono::seconds(1);
constexpr Duration attachRetry = std::chrono::milliseconds(500);

} // namespace

Problem
drainingProblem()
{
  return Problem(ProblemKind::Draining,
                 RunState::NotRun,
                 "This daemon is shutting down; submit to another one")
    .withRetryAfter(drainRetry);
}

Problem
keyReused()
{
  return Problem(ProblemKind::KeyReused,
                 RunState::NotRun,
                 "Its key was used before for a different submission, which "
                 "is left as it is");
}

Problem
answerExpired()
{
  return Problem(ProblemKind::AnswerExpired,
                 RunState::MayHaveRun,
                 "It was taken here before; what became of it is no longer "
                 "kept, and it is not started again");
}

Problem
unknownJob(const SubmissionKey& key)
{
  return Problem(ProblemKind::UnknownJob,
                 RunState::MayHaveRun,
                 "No job " + key.value() +
                   " is known; it may have run and been forgotten since")
    .withField("job", key.value(), "the id of a job within its window");
}

Problem
notCaughtUp()
{
  return Problem(ProblemKind::NotCaughtUp,
                 RunState::MayHaveRun,
                 "This daemon has not read all claims yet, so it cannot tell "
                 "who owns the job")
    .withRetryAfter(catchUpRetry);
}

Problem
notClaimedInTime()
{
  return Problem(ProblemKind::PlatformUnavailable,
                 RunState::NotRun,
                 "Its key could not be claimed in the log in time")
    .withRetryAfter(attachRetry);
}

Problem
notEndedYet()
{
  return Problem(ProblemKind::DeadlineExceeded,
                 RunState::MayHaveRun,
                 "It has not ended yet; ask again")
    .withRetryAfter(attachRetry);
}

Problem
mayHaveRunBefore(const Problem& refusal)
{
  const Problem doubtful(refusal.kind(),
                         RunState::MayHaveRun,
                         refusal.detail() +
                           ". It was not started here now, but may have run "
                           "for an earlier submission; go on with this key");
  return refusal.retryAfter() ? doubtful.withRetryAfter(*refusal.retryAfter())
                              : doubtful;
}

} // namespace cowslippin
