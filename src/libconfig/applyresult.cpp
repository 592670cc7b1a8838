#include "applyresult.h"

namespace cowslippin {

ApplyResult
ApplyResult::withProblem(Problem problem) const
{
  ApplyResult copy = *this;
  copy.m_problem = std::move(problem);
  return copy;
}

Problem
revisionConflict(const std::string& name, Offset expected, Offset current)
{
  const std::string expectedText = std::to_string(expected);
  const std::string currentText = std::to_string(current);
  return Problem(ProblemKind::RevisionConflict,
                 RunState::NotRun,
                 "'" + name + "' stands at revision " + currentText + ", not " +
                   expectedText +
                   "; look at it and send the change again with that revision")
    .withField("revision", expectedText, currentText);
}

} // namespace cowslippin
