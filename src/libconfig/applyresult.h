#pragma once

#include "configuration.h"

namespace cowslippin {

/// What became of a record of the config stream.
enum class ApplyOutcome
{
  /// It is in force.
  Accepted,
  /// Another revision came first; it changed nothing.
  Conflict,
  /// It is an accepted record appended again; it changed nothing.
  Duplicate,
  /// It is a snapshot that closed a gap.
  Adopted,
  /// It changed nothing: read before, behind a gap, a snapshot that is not
  /// needed or not valid, or unreadable.
  Ignored,
};

/// The configuration after a record, and what became of the record.
class ApplyResult
{
public:
  ApplyResult(Configuration next, ApplyOutcome outcome, Offset revision = 0)
    : m_next(std::move(next))
    , m_outcome(outcome)
    , m_revision(revision)
  {
  }

  const Configuration& next() const { return m_next; }
  ApplyOutcome outcome() const { return m_outcome; }

  /// The revision that an accepted record made, also when it is a duplicate;
  /// the one that stands in a conflict's way (0: there is none); else 0.
  Offset revision() const { return m_revision; }

  /// Why an ignored record deserves a look: it cannot be parsed, or it is a
  /// valid snapshot that differs from what the records made.
  const std::optional<Problem>& problem() const { return m_problem; }

  /// The same result carrying a problem.
  ApplyResult withProblem(Problem problem) const;

private:
  Configuration m_next;
  ApplyOutcome m_outcome;
  Offset m_revision;
  std::optional<Problem> m_problem;
};

/// The problem that the author of a conflicting record is told: the revision
/// that was expected and the one that stands. Nothing changed.
Problem
revisionConflict(const std::string& name, Offset expected, Offset current);

} // namespace cowslippin
