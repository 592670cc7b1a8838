#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// What follows from an attempt's end.
enum class FinishKind
{
  /// The task ended: with its answer, or with the problem given.
  TaskEnds,
  /// The task waits for another attempt; `poll` may start it now.
  TriedAgain,
  /// No such attempt is in flight; nothing changed.
  NotInFlight,
};

/// The dispatcher's answer to an attempt's end.
class FinishResult
{
public:
  explicit FinishResult(FinishKind kind)
    : m_kind(kind)
  {
  }
  explicit FinishResult(Problem problem)
    : m_kind(FinishKind::TaskEnds)
    , m_problem(std::move(problem))
  {
  }

  FinishKind kind() const { return m_kind; }
  /// Why the task ended without an answer; unset when it was answered.
  const std::optional<Problem>& problem() const { return m_problem; }

  friend bool operator==(const FinishResult& a, const FinishResult& b)
  {
    return a.m_kind == b.m_kind && a.m_problem == b.m_problem;
  }
  friend bool operator!=(const FinishResult& a, const FinishResult& b)
  {
    return !(a == b);
  }

private:
  FinishKind m_kind;
  std::optional<Problem> m_problem;
};

} // namespace cowslippin
