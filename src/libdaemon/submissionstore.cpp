#include "submissionstore.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

SubmissionStore::SubmissionStore(Limits limits)
  : m_limits(limits)
{
}

std::shared_ptr<Submission>
SubmissionStore::find(const SubmissionKey& key) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_submissions.find(key);
  return found == m_submissions.end() ? nullptr : found->second;
}

std::shared_ptr<Submission>
SubmissionStore::add(std::shared_ptr<Submission> submission)
{
  const std::lock_guard lock(m_mutex);
  const SubmissionKey& key = submission->request().key();
  return m_submissions.emplace(key, std::move(submission)).first->second;
}

bool
SubmissionStore::replace(const std::shared_ptr<Submission>& old,
                         std::shared_ptr<Submission> next)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_submissions.find(old->request().key());
  if (found == m_submissions.end() || found->second != old) {
    return false;
  }
  found->second = std::move(next);
  return true;
}

void
SubmissionStore::remove(const std::shared_ptr<Submission>& submission)
{
  const std::lock_guard lock(m_mutex);
  removeLocked(submission);
}

void
SubmissionStore::ended(const std::shared_ptr<Submission>& submission,
                       TimePoint now)
{
  const std::lock_guard lock(m_mutex);
  const std::size_t bytes = submission->replySize();
  m_ended.push_back({ submission, now, bytes });
  m_answerBytes += bytes;
  forgetOldAnswers();
}

void
SubmissionStore::expire(TimePoint now)
{
  const std::lock_guard lock(m_mutex);
  while (!m_ended.empty() && m_ended.front().endedAt + m_limits.window <= now) {
    removeLocked(m_ended.front().submission);
    m_answerBytes -= m_ended.front().bytes;
    m_ended.pop_front();
    m_forgotten -= std::min<std::size_t>(m_forgotten, 1);
  }
}

std::size_t
SubmissionStore::size() const
{
  const std::lock_guard lock(m_mutex);
  return m_submissions.size();
}

std::size_t
SubmissionStore::answerBytes() const
{
  const std::lock_guard lock(m_mutex);
  return m_answerBytes;
}

std::size_t
SubmissionStore::live() const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(
    m_submissions.begin(), m_submissions.end(), [](const auto& entry) {
      return entry.second->progress().phase != SubmissionPhase::Ended;
    }));
}

std::size_t
SubmissionStore::unfetched() const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(
    m_ended.begin(), m_ended.end(), [](const EndedSubmission& entry) {
      return entry.submission->isUnfetched();
    }));
}

void
SubmissionStore::removeLocked(const std::shared_ptr<Submission>& submission)
{
  const auto found = m_submissions.find(submission->request().key());
  if (found != m_submissions.end() && found->second == submission) {
    m_submissions.erase(found);
  }
}

void
SubmissionStore::forgetOldAnswers()
{
  while (m_answerBytes > m_limits.maxAnswerBytes &&
         m_forgotten < m_ended.size()) {
    EndedSubmission& oldest = m_ended[m_forgotten];
    oldest.submission->expireAnswer();
    const std::size_t bytes = oldest.submission->replySize();
    m_answerBytes -= oldest.bytes - std::min(bytes, oldest.bytes);
    oldest.bytes = std::min(bytes, oldest.bytes);
    ++m_forgotten;
  }
}

} // namespace cowslippin
