#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// How a call of an endpoint ended.
enum class CallOutcome
{
  /// Status 200 with a whole answer.
  Answered,
  /// The endpoint says that it did not start the task.
  ExplicitlyNotRun,
  /// A whole answer with another status: the task ran and failed.
  FailedStatus,
  /// No byte of the request left this process: the task cannot have run.
  NotSent,
  /// Sent, at least in part, and no answer came: the task may have run.
  SentNoAnswer,
  /// Sent, and the answer was cut short, too long or not HTTP.
  InvalidAnswer,
};

/// Why no byte of a request was sent.
enum class NotSentReason
{
  /// The endpoint refused the connection or cannot be reached.
  ConnectFailed,
  /// The connection was not made in time.
  ConnectTimeout,
  /// The connection was lost before the first byte.
  ConnectionLost,
  /// As many connections as the endpoint allows are in use.
  NoConnection,
  /// The path or a header field cannot be sent: it has control characters.
  InvalidCall,
  /// The call was cancelled, or the client was stopped.
  Cancelled,
};

/// How a call of an endpoint ended and what came back.
class CallEnd
{
public:
  struct Fields
  {
    CallOutcome outcome = CallOutcome::SentNoAnswer;
    /// Set exactly when the outcome is `NotSent`.
    std::optional<NotSentReason> notSentReason;
    /// 0 unless a whole answer came.
    int status = 0;
    std::string contentType;
    std::string body;
    /// What the endpoint said of its free slots, if it did.
    std::optional<int> slotsFree;
    /// While the call waited, a new connection was tried: true when a health
    /// check on it was answered, false when it was not. Nothing when no new
    /// connection was tried. A call lost although this is true was lost with
    /// its connection; the endpoint is not to blame.
    std::optional<bool> endpointReachable;
    /// From the call to its end.
    Duration elapsed = Duration::zero();
    /// A sentence about an outcome without a whole answer.
    std::string detail;
  };

  explicit CallEnd(Fields fields);

  CallOutcome outcome() const { return m_fields.outcome; }
  std::optional<NotSentReason> notSentReason() const
  {
    return m_fields.notSentReason;
  }
  int status() const { return m_fields.status; }
  const std::string& contentType() const { return m_fields.contentType; }
  const std::string& body() const { return m_fields.body; }
  std::optional<int> slotsFree() const { return m_fields.slotsFree; }
  std::optional<bool> endpointReachable() const
  {
    return m_fields.endpointReachable;
  }
  Duration elapsed() const { return m_fields.elapsed; }
  const std::string& detail() const { return m_fields.detail; }

  friend bool operator==(const CallEnd& a, const CallEnd& b);
  friend bool operator!=(const CallEnd& a, const CallEnd& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
