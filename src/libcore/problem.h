#pragma once

#include "clock.h"
#include "runstate.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cowslippin {

/// Every kind of problem that a caller or operator can be told of.
enum class ProblemKind
{
  MalformedBody,
  InvalidField,
  BodyTooLarge,
  TooManyTasks,
  UnknownOrganisation,
  UnknownTemplate,
  UnknownJob,
  UnknownPath,
  WrongMethod,
  RevisionConflict,
  KeyReused,
  CanNeverRun,
  DeadlineTooShort,
  OverQuota,
  Overloaded,
  NoEndpoint,
  Draining,
  NotCaughtUp,
  PlatformUnavailable,
  PeerUnreachable,
  OwnerGone,
  OutcomeUnknown,
  AnswerExpired,
  EndpointFailed,
  EndpointAnswerInvalid,
  Cancelled,
  DeadlineExceeded,
};

/// The last part of a problem's type URI, such as `unknown-template`.
std::string_view
slug(ProblemKind kind);

/// The problem's short title, the same for every occurrence.
std::string_view
title(ProblemKind kind);

/// The HTTP status a problem of this kind is answered with.
int
httpStatus(ProblemKind kind);

/// The kind whose slug is `text`, or nothing.
std::optional<ProblemKind>
problemKindFromSlug(std::string_view text);

/// What went wrong, told to a caller or operator. It says whether anything
/// ran, which field was wrong and what is allowed there, and when to come
/// back. Rendered as problem details (RFC 9457). All its texts are UTF-8 and
/// of limited length, also if they contain bytes that another program wrote.
class Problem
{
public:
  /// Maximum length of the detail and of a description of what is allowed, in
  /// bytes.
  static constexpr std::size_t maxDetailBytes = 1000;
  static constexpr std::size_t maxAllowedBytes = 400;

  /// `detail` is a sentence about this occurrence.
  Problem(ProblemKind kind, RunState ran, std::string detail);

  /// A field whose value is not allowed; nothing ran.
  static Problem invalidField(std::string field,
                              std::string value,
                              std::string allowed);

  ProblemKind kind() const { return m_kind; }
  RunState ran() const { return m_ran; }
  const std::string& detail() const { return m_detail; }
  const std::string& field() const { return m_field; }
  const std::string& value() const { return m_value; }
  const std::string& allowed() const { return m_allowed; }
  std::optional<Duration> retryAfter() const { return m_retryAfter; }

  /// The same problem, telling the caller to come back after `duration`.
  Problem withRetryAfter(Duration duration) const;

  /// The same problem with what is known of the run replaced.
  Problem withRan(RunState ran) const;

  /// The same problem naming the offending field.
  Problem withField(std::string field,
                    std::string value,
                    std::string allowed) const;

  friend bool operator==(const Problem& a, const Problem& b);
  friend bool operator!=(const Problem& a, const Problem& b)
  {
    return !(a == b);
  }

private:
  ProblemKind m_kind;
  RunState m_ran;
  std::string m_detail;
  std::string m_field;
  std::string m_value;
  std::string m_allowed;
  std::optional<Duration> m_retryAfter;
};

} // namespace cowslippin
