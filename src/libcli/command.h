#pragma once

#include "commandkind.h"
#include "libcore/core.h"

#include <optional>

namespace cowslippin {

/// One command of the command line, checked and complete. Members that a
/// kind of command has no use for keep their defaults.
class Command
{
public:
  struct Fields
  {
    CommandKind kind = CommandKind::ShowConfig;
    Address daemon;
    /// Whether the daemon's JSON is printed as it is.
    bool json = false;
    /// How long to wait for the reply, beyond any wait that is asked for.
    Duration timeout = std::chrono::seconds(30);
    /// The template, organisation or job that the command is about.
    std::string name;
    /// The organisation that work is submitted for.
    std::string organisation;
    /// What is sent: the template, the payload or the tasks.
    std::string body;
    /// The revision that the published one replaces; 0 when there is none.
    Offset revision = 0;
    /// How many tickets are drawn.
    int count = 0;
    /// The idempotency key; empty until one is made up.
    std::string key;
    /// Counted from when the daemon reads the submission.
    std::optional<Duration> deadline;
    /// How long the daemon may wait for a job's answer.
    Duration wait = Duration::zero();
    /// Whether a request must not be tried again, whatever its template says.
    bool notRepeatable = false;
    /// Whether a job's submission waits for its answer.
    bool waitForAnswer = false;
  };

  explicit Command(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  CommandKind kind() const { return m_fields.kind; }
  const Address& daemon() const { return m_fields.daemon; }
  bool wantsJson() const { return m_fields.json; }
  const std::string& name() const { return m_fields.name; }
  const std::string& organisation() const { return m_fields.organisation; }
  const std::string& body() const { return m_fields.body; }
  Offset revision() const { return m_fields.revision; }
  int count() const { return m_fields.count; }
  const std::string& key() const { return m_fields.key; }
  const std::optional<Duration>& deadline() const { return m_fields.deadline; }
  Duration wait() const { return m_fields.wait; }
  bool isNotRepeatable() const { return m_fields.notRepeatable; }
  bool waitsForAnswer() const { return m_fields.waitForAnswer; }

  /// How long the reply may take: the timeout, and what the daemon was asked
  /// to wait or was given as a deadline.
  Duration replyTimeout() const;

  /// The same command under an idempotency key.
  Command withKey(std::string key) const;

  friend bool operator==(const Command& a, const Command& b);
  friend bool operator!=(const Command& a, const Command& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
