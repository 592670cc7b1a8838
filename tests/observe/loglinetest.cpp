#include "libobserve/logline.h"
#include "libobserve/loglinebuffer.h"
#include "libobserve/observe.h"

#include "libcore/displaytext.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <condition_variable>
#include <limits>
#include <mutex>

namespace cowslippin {
namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

TimePoint
at(int milliseconds)
{
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

std::string
lineOf(std::initializer_list<LogField> fields)
{
  LogLineFormatter formatter;
  std::string line;
  formatter.append(line,
                   system_clock::time_point(milliseconds(1700000000007)),
                   LogLevel::Info,
                   "event-name",
                   fields);
  return line;
}

/// What a document of the same fields writes.
std::string
documentOf(std::initializer_list<LogField> fields)
{
  nlohmann::ordered_json json;
  json["time"] = "2023-11-14T22:13:20.007Z";
  json["level"] = "info";
  json["event"] = "event-name";
  for (const LogField& field : fields) {
    std::visit(
      [&](const auto& value) {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>,
                                     std::string>)
          json.emplace(field.name(), boundedText(value, maxLogTextBytes));
        else
          json.emplace(field.name(), value);
      },
      field.value());
  }
  return json.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/// Guards against composed lines that differ from a document's, or are no valid
/// JSON.
TEST(LogLine, IsWhatADocumentWrites)
{
  const std::string texts[] = { "",
                                "plain",
                                "two\nlines\tand\x01\x1f\x7f",
                                "quote\" back\\slash",
                                std::string("nul\0in", 6),
                                "caf\xc3\xa9 \xf0\x9f\x98\x80",
                                "cut \xe2\x82",
                                "lone \xff byte",
                                "\xed\xa0\x80 surrogate",
                                std::string(1024, 'x'),
                                std::string(1025, 'x'),
                                std::string(3000, '"') };
  for (const std::string& text : texts) {
    const std::string line = lineOf({ { "before", 1 }, { "value", text } });
    EXPECT_EQ(line, documentOf({ { "before", 1 }, { "value", text } }));
    EXPECT_TRUE(nlohmann::json::accept(line)) << line;
    const std::string named = lineOf({ { text, 1 } });
    EXPECT_TRUE(nlohmann::json::accept(named)) << named;
  }
  const std::initializer_list<LogField> numbers = {
    { "least", std::numeric_limits<std::int64_t>::min() },
    { "most", std::numeric_limits<std::uint64_t>::max() },
    { "half", 0.5 },
    { "whole", 2.0 },
    { "none", std::nan("") },
    { "yes", true },
    { "no", false }
  };
  EXPECT_EQ(lineOf(numbers), documentOf(numbers));
}

/// Guards against lines with a member twice, of which readers take either.
TEST(LogLine, LeavesOutANameThatIsTaken)
{
  const std::initializer_list<LogField> fields = { { "a", 1 }, { "time", 2 },
                                                   { "a", 3 }, { "level", 4 },
                                                   { "b", 5 }, { "a", 6 } };
  EXPECT_EQ(lineOf(fields), documentOf(fields));
  EXPECT_EQ(nlohmann::json::parse(lineOf(fields))["a"], 1);
}

/// Guards against a time of an earlier second that is used again.
TEST(LogLine, HasTheTimeOfItsOwnSecond)
{
  LogLineFormatter formatter;
  const auto timeAt = [&](std::int64_t ms) {
    std::string line;
    formatter.append(line,
                     system_clock::time_point(milliseconds(ms)),
                     LogLevel::Info,
                     "event",
                     {});
    return nlohmann::json::parse(line)["time"].get<std::string>();
  };
  EXPECT_EQ(timeAt(1700000000999), "2023-11-14T22:13:20.999Z");
  EXPECT_EQ(timeAt(1700000001000), "2023-11-14T22:13:21.000Z");
  EXPECT_EQ(timeAt(1700000001001), "2023-11-14T22:13:21.001Z");
  EXPECT_EQ(timeAt(1700000000000), "2023-11-14T22:13:20.000Z");
}

TEST(LogLineBuffer, IsDueOnceItsOldestLineHasWaited)
{
  LogLineBuffer buffer;
  EXPECT_FALSE(buffer.isDue(at(1000)));
  buffer.add("first", at(1000));
  buffer.add("second", at(1099));
  EXPECT_FALSE(buffer.isDue(at(1099)));
  EXPECT_TRUE(buffer.isDue(at(1100)));
  EXPECT_EQ(buffer.text(), "first\nsecond\n");
  buffer.clear();
  EXPECT_TRUE(buffer.isEmpty());
  EXPECT_FALSE(buffer.isDue(at(5000)));
  buffer.add("third", at(5000));
  EXPECT_FALSE(buffer.isDue(at(5099)));
}

/// Guards against memory that grows with the rate of lines.
TEST(LogLineBuffer, IsDueOnceItIsFull)
{
  LogLineBuffer buffer;
  buffer.add(std::string(LogLineBuffer::maxBytes - 2, 'x'), at(0));
  EXPECT_FALSE(buffer.isDue(at(0)));
  buffer.add("", at(0));
  EXPECT_TRUE(buffer.isDue(at(0)));
}

/// A stream whose readers wait for what is written to it.
class AwaitedStream
  : public std::streambuf
  , public std::ostream
{
public:
  AwaitedStream()
    : std::ostream(this)
  {
  }

  /// Calls `meanwhile` until a line with this text has been written.
  template<class Function>
  bool await(const std::string& text, Function meanwhile)
  {
    const TimePoint limit = steadyNow() + std::chrono::seconds(20);
    std::unique_lock lock(m_mutex);
    while (m_text.find(text) == std::string::npos && steadyNow() < limit) {
      lock.unlock();
      meanwhile();
      lock.lock();
      m_written.wait_for(lock, milliseconds(10));
    }
    return m_text.find(text) != std::string::npos;
  }

private:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override
  {
    const std::lock_guard lock(m_mutex);
    m_text.append(bytes, static_cast<std::size_t>(count));
    m_written.notify_all();
    return count;
  }

  std::mutex m_mutex;
  std::condition_variable m_written;
  std::string m_text;
};

/// Guards against warnings that are lost or late because later lines are to be
/// written with them.
TEST(LogDelay, AWarningIsWrittenAtOnceWithTheLinesBeforeIt)
{
  AwaitedStream stream;
  LogSettings settings;
  settings.stream = &stream;
  initialiseLogging(settings);
  logEvent(LogLevel::Info, "before-it");
  logEvent(LogLevel::Warning, "the-warning");
  EXPECT_TRUE(stream.await("the-warning", [] {}));
  EXPECT_TRUE(stream.await("before-it", [] {}));
  stopLogging();
}

/// Guards against lines that a process which falls silent never writes.
TEST(LogDelay, ATimerWritesTheLinesOfASilentProcess)
{
  AwaitedStream stream;
  LogSettings settings;
  settings.stream = &stream;
  initialiseLogging(settings);
  logEvent(LogLevel::Info, "the-last-line");
  EXPECT_TRUE(stream.await("the-last-line", writeDueLogRecords));
  stopLogging();
}

} // namespace
} // namespace cowslippin
