#pragma once

#include "submission.h"

#include <deque>
#include <mutex>
#include <unordered_map>

namespace cowslippin {

/// The submissions that this daemon holds, by key. Ended ones are kept for the
/// window in which a caller may come back, and their answers as long as memory
/// for them lasts. Thread-safe.
class SubmissionStore
{
public:
  struct Limits
  {
    /// How long an ended submission is kept.
    Duration window = std::chrono::minutes(10);
    /// Bytes of answers kept; beyond it the oldest are forgotten.
    std::size_t maxAnswerBytes = std::size_t{ 256 } << 20;
  };

  explicit SubmissionStore(Limits limits);

  /// The submission under this key, or null.
  std::shared_ptr<Submission> find(const SubmissionKey& key) const;

  /// Adds `submission`, or returns the one that has its key already.
  std::shared_ptr<Submission> add(std::shared_ptr<Submission> submission);

  /// Replaces `old` by `next` if `old` is still what the key leads to.
  bool replace(const std::shared_ptr<Submission>& old,
               std::shared_ptr<Submission> next);

  /// Removes this very submission.
  void remove(const std::shared_ptr<Submission>& submission);

  /// Notes that the submission has ended, so that it is kept for the window
  /// from `now` on.
  void ended(const std::shared_ptr<Submission>& submission, TimePoint now);

  /// Drops what is older than the window.
  void expire(TimePoint now);

  std::size_t size() const;
  std::size_t answerBytes() const;

  /// How many submissions have not ended.
  std::size_t live() const;

  /// How many ended jobs wait for their callers to fetch the answer.
  std::size_t unfetched() const;

private:
  struct EndedSubmission
  {
    std::shared_ptr<Submission> submission;
    TimePoint endedAt;
    std::size_t bytes = 0;
  };

  void removeLocked(const std::shared_ptr<Submission>& submission);
  void forgetOldAnswers();

  const Limits m_limits;
  mutable std::mutex m_mutex;
  std::unordered_map<SubmissionKey, std::shared_ptr<Submission>> m_submissions;
  std::deque<EndedSubmission> m_ended;
  /// How many of the oldest in `m_ended` have lost their answers.
  std::size_t m_forgotten = 0;
  std::size_t m_answerBytes = 0;
};

} // namespace cowslippin
