#include "problem.h"

#include "displaytext.h"

#include <array>
#include <tuple>
#include <utility>

namespace cowslippin {

namespace {

struct ProblemText
{
  ProblemKind kind;
  std::string_view slug;
  std::string_view title;
  int status;
};

constexpr std::array<ProblemText, 27> problemTexts = { {
  { ProblemKind::MalformedBody,
    "malformed-body",
    "The body cannot be parsed",
    400 },
  { ProblemKind::InvalidField,
    "invalid-field",
    "A field has a value that is not allowed",
    422 },
  { ProblemKind::BodyTooLarge, "body-too-large", "The body is too large", 413 },
  { ProblemKind::TooManyTasks,
    "too-many-tasks",
    "The job has too many tasks",
    422 },
  { ProblemKind::UnknownOrganisation,
    "unknown-organisation",
    "The organisation is not known",
    404 },
  { ProblemKind::UnknownTemplate,
    "unknown-template",
    "The template is not published",
    404 },
  { ProblemKind::UnknownJob, "unknown-job", "The job is not known", 404 },
  { ProblemKind::UnknownPath,
    "unknown-path",
    "Nothing is served at this path",
    404 },
  { ProblemKind::WrongMethod,
    "wrong-method",
    "The method is not allowed here",
    405 },
  { ProblemKind::RevisionConflict,
    "revision-conflict",
    "Another revision came first",
    409 },
  { ProblemKind::KeyReused,
    "key-reused",
    "The idempotency key belongs to another submission",
    422 },
  { ProblemKind::CanNeverRun, "can-never-run", "The work can never run", 422 },
  { ProblemKind::DeadlineTooShort,
    "deadline-too-short",
    "The deadline cannot be met",
    503 },
  { ProblemKind::OverQuota,
    "over-quota",
    "The organisation is over its share",
    429 },
  { ProblemKind::Overloaded, "overloaded", "The system is overloaded", 503 },
  { ProblemKind::NoEndpoint,
    "no-endpoint",
    "No endpoint can take the work",
    503 },
  { ProblemKind::Draining, "draining", "The daemon is shutting down", 503 },
  { ProblemKind::NotCaughtUp,
    "not-caught-up",
    "The daemon is still starting",
    503 },
  { ProblemKind::PlatformUnavailable,
    "platform-unavailable",
    "The platform's log cannot be reached",
    503 },
  { ProblemKind::PeerUnreachable,
    "peer-unreachable",
    "The daemon that owns the submission cannot be reached",
    503 },
  { ProblemKind::OwnerGone,
    "owner-gone",
    "The daemon that owned the submission is gone",
    500 },
  { ProblemKind::OutcomeUnknown,
    "outcome-unknown",
    "The outcome is not known",
    502 },
  { ProblemKind::AnswerExpired,
    "answer-expired",
    "The answer is no longer kept",
    410 },
  { ProblemKind::EndpointFailed,
    "endpoint-failed",
    "The endpoint failed the task",
    502 },
  { ProblemKind::EndpointAnswerInvalid,
    "endpoint-answer-invalid",
    "The endpoint's answer is not valid",
    502 },
  { ProblemKind::Cancelled, "cancelled", "The submission was cancelled", 409 },
  { ProblemKind::DeadlineExceeded,
    "deadline-exceeded",
    "The deadline has passed",
    504 },
} };

const ProblemText&
textOf(ProblemKind kind)
{
  return problemTexts[static_cast<std::size_t>(kind)];
}

auto
tied(const Problem& problem)
{
  return std::make_tuple(problem.kind(),
                         problem.ran(),
                         problem.detail(),
                         problem.field(),
                         problem.value(),
                         problem.allowed(),
                         problem.retryAfter());
}

} // namespace

std::string_view
slug(ProblemKind kind)
{
  return textOf(kind).slug;
}

std::string_view
title(ProblemKind kind)
{
  return textOf(kind).title;
}

int
httpStatus(ProblemKind kind)
{
  return textOf(kind).status;
}

std::optional<ProblemKind>
problemKindFromSlug(std::string_view text)
{
  for (const ProblemText& entry : problemTexts) {
    if (entry.slug == text) {
      return entry.kind;
    }
  }
  return std::nullopt;
}

Problem::Problem(ProblemKind kind, RunState ran, std::string detail)
  : m_kind(kind)
  , m_ran(ran)
  , m_detail(boundedText(std::move(detail), maxDetailBytes))
{
}

Problem
Problem::invalidField(std::string field, std::string value, std::string allowed)
{
  std::string detail = displayText(field) + " is '" + displayText(value) +
                       "'; allowed is " + displayText(allowed, maxAllowedBytes);
  return Problem(ProblemKind::InvalidField, RunState::NotRun, std::move(detail))
    .withField(std::move(field), std::move(value), std::move(allowed));
}

Problem
Problem::withRetryAfter(Duration duration) const
{
  Problem copy = *this;
  copy.m_retryAfter = duration;
  return copy;
}

Problem
Problem::withRan(RunState ran) const
{
  Problem copy = *this;
  copy.m_ran = ran;
  return copy;
}

Problem
Problem::withField(std::string field,
                   std::string value,
                   std::string allowed) const
{
  Problem copy = *this;
  copy.m_field = boundedText(std::move(field), maxDisplayBytes);
  copy.m_value = boundedText(std::move(value), maxDisplayBytes);
  copy.m_allowed = boundedText(std::move(allowed), maxAllowedBytes);
  return copy;
}

bool
operator==(const Problem& a, const Problem& b)
{
  return tied(a) == tied(b);
}

} // namespace cowslippin
