#pragma once

#include "logfield.h"
#include "loglevel.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iostream>
#include <map>
#include <string>

namespace cowslippin {

/// Which thread writes log lines.
enum class LogDelivery
{
  /// The thread that logs; a record has been written when `logEvent` returns.
  Synchronous,
  /// A thread of the logger's own. Its queue is bounded: records that find it
  /// full are dropped and counted as suppressed, so that a blocked stream holds
  /// up no other thread. Part of it is kept for what `logDecision` writes.
  /// Records are written together: once they take 16 KB, once the oldest has
  /// waited 100 ms, and at once with a warning or an error. A process that is
  /// killed loses those that wait.
  Asynchronous,
};

/// Maximum length of a text in a field, in bytes.
constexpr std::size_t maxLogTextBytes = 1024;

/// How the process logs.
struct LogSettings
{
  /// Records below this level are left out.
  LogLevel level = LogLevel::Info;
  LogDelivery delivery = LogDelivery::Asynchronous;
  /// How many records of one event name are written within a second. The
  /// rest are counted, and one `log-suppressed` record tells the count.
  unsigned eventsPerSecond = 20;
  /// Where lines go. It must live until `stopLogging` has returned.
  std::ostream* stream = &std::clog;
  /// The same as `eventsPerSecond`, of those that `logDecision` writes.
  unsigned decisionsPerSecond = 200;
};

/// Starts logging. Until then, and after `stopLogging`, records are dropped.
/// Called again it replaces the earlier settings.
void
initialiseLogging(const LogSettings& settings);

/// Writes what is still queued or counted as suppressed, and ends logging.
void
stopLogging();

/// Writes one line of JSON: `time` (RFC 3339, UTC, with milliseconds),
/// `level`, `event` and the fields in their order. `event` names the kind of
/// occurrence in lower case with hyphens, such as `peer-down`. A field may not
/// be called like one of these three or like an earlier one: it is left out.
/// Control characters are escaped and invalid UTF-8 is replaced, so that every
/// line is valid JSON. A text longer than `maxLogTextBytes` is cut. Safe to
/// call from any thread.
void
logEvent(LogLevel level,
         const char* event,
         std::initializer_list<LogField> fields = {});

/// Writes such a line for a rare decision that an incident is reconstructed
/// from. Its limit is higher, and frequent events can't displace it.
void
logDecision(LogLevel level,
            const char* event,
            std::initializer_list<LogField> fields = {});

/// How often each event was logged since logging was set up, the suppressed
/// ones included. Events below the level are not counted.
std::map<std::string, std::uint64_t>
eventCounts();

/// Writes the `log-suppressed` records that are due, and the records that have
/// waited for 100 ms. Every `logEvent` does so too; as a process may fall
/// silent, a program calls this from a timer, at least every 100 ms.
void
writeDueLogRecords();

} // namespace cowslippin
