#include "libcore/ids.h"
#include "libobserve/observe.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <condition_variable>
#include <limits>
#include <map>
#include <mutex>
#include <regex>
#include <sstream>
#include <thread>

namespace cowslippin {
namespace {

class Logging : public testing::TestWithParam<LogDelivery>
{
protected:
  void start(LogLevel level, unsigned eventsPerSecond = 1000)
  {
    initialiseLogging({ level, GetParam(), eventsPerSecond, &m_stream });
  }

  std::vector<nlohmann::json> stopAndRead()
  {
    stopLogging();
    std::vector<nlohmann::json> records;
    std::istringstream lines(m_stream.str());
    for (std::string line; std::getline(lines, line);) {
      records.push_back(nlohmann::json::parse(line));
    }
    return records;
  }

  std::string stopAndReadText()
  {
    stopLogging();
    return m_stream.str();
  }

private:
  std::ostringstream m_stream;
};

TEST_P(Logging, WritesTimeLevelEventAndTypedFieldsInOrder)
{
  start(LogLevel::Info);
  logEvent(LogLevel::Warning,
           "peer-down",
           { { "vm", VmId("vm-1") },
             { "attempts", -3 },
             { "bytes", std::numeric_limits<std::uint64_t>::max() },
             { "load", 0.5 },
             { "again", true } });
  const std::regex expected(
    R"(\{"time":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z",)"
    R"("level":"warning","event":"peer-down","vm":"vm-1","attempts":-3,)"
    R"("bytes":18446744073709551615,"load":0\.5,"again":true\}\n)");
  const std::string text = stopAndReadText();
  EXPECT_TRUE(std::regex_match(text, expected)) << text;
}

TEST_P(Logging, LeavesOutRecordsBelowTheLevel)
{
  start(LogLevel::Warning);
  logEvent(LogLevel::Debug, "debug-event");
  logEvent(LogLevel::Info, "info-event");
  logEvent(LogLevel::Warning, "warning-event");
  logEvent(LogLevel::Error, "error-event");
  const auto records = stopAndRead();
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[0]["event"], "warning-event");
  EXPECT_EQ(records[1]["event"], "error-event");
}

TEST_P(Logging, KeepsHostileValuesOnOneValidLine)
{
  const std::string hostile[] = { "two\nlines",
                                  "quote\" back\\slash",
                                  std::string("nul\0in", 6),
                                  "\x1b[31mred",
                                  "cut \xe2\x82",
                                  "lone \xff byte",
                                  "\xed\xa0\x80 surrogate" };
  start(LogLevel::Info);
  for (const std::string& value : hostile) {
    logEvent(LogLevel::Info, "hostile", { { "value", value } });
  }
  logEvent(LogLevel::Info, "nan", { { "value", std::nan("") } });
  const auto records = stopAndRead();
  ASSERT_EQ(records.size(), std::size(hostile) + 1);
  EXPECT_EQ(records[0]["value"], "two\nlines");
  EXPECT_EQ(records[2]["value"], hostile[2]);
  EXPECT_EQ(records[5]["value"], "lone \xef\xbf\xbd byte");
  EXPECT_TRUE(records.back()["value"].is_null());
}

TEST_P(Logging, AFieldDoesNotReplaceAnEarlierMember)
{
  start(LogLevel::Info);
  logEvent(LogLevel::Info, "clash", { { "level", "x" }, { "event", "y" } });
  const auto records = stopAndRead();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0]["level"], "info");
  EXPECT_EQ(records[0]["event"], "clash");
}

TEST_P(Logging, CountsEveryRecordOfAFloodAsWrittenOrSuppressed)
{
  constexpr int flood = 1000;
  start(LogLevel::Info, 20);
  for (int i = 0; i < flood; ++i) {
    logEvent(LogLevel::Error, "platform-unavailable");
  }
  int written = 0;
  int suppressed = 0;
  for (const nlohmann::json& record : stopAndRead()) {
    if (record["event"] == "log-suppressed") {
      EXPECT_EQ(record["suppressedEvent"], "platform-unavailable");
      suppressed += record["count"].get<int>();
    } else {
      ++written;
    }
  }
  EXPECT_GE(written, 20);
  EXPECT_GT(suppressed, 0);
  EXPECT_EQ(written + suppressed, flood);
}

TEST_P(Logging, ThreadsDoNotMixTheirLines)
{
  constexpr int threadCount = 4;
  constexpr int recordsEach = 200;
  start(LogLevel::Info);
  std::vector<std::thread> threads;
  threads.reserve(threadCount);
  for (int i = 0; i < threadCount; ++i) {
    threads.emplace_back([i] {
      for (int j = 0; j < recordsEach; ++j) {
        logEvent(LogLevel::Info, "line", { { "thread", i }, { "record", j } });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(stopAndRead().size(), 1U * threadCount * recordsEach);
}

TEST_P(Logging, DropsRecordsOnceStopped)
{
  start(LogLevel::Debug);
  stopLogging();
  logEvent(LogLevel::Error, "late");
  EXPECT_TRUE(stopAndRead().empty());
}

/// A stream that takes nothing until it is opened.
class BlockedStream
  : public std::streambuf
  , public std::ostream
{
public:
  BlockedStream()
    : std::ostream(this)
  {
  }

  void open()
  {
    const std::lock_guard lock(m_mutex);
    m_isOpen = true;
    m_opened.notify_all();
  }

  const std::string& text() const { return m_text; }

private:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override
  {
    std::unique_lock lock(m_mutex);
    m_opened.wait(lock, [this] { return m_isOpen; });
    m_text.append(bytes, static_cast<std::size_t>(count));
    return count;
  }

  std::mutex m_mutex;
  std::condition_variable m_opened;
  bool m_isOpen = false;
  std::string m_text;
};

/// Guards against frequent records that fill the queue and displace decisions.
TEST(LogQueue, AFloodOfFrequentRecordsLeavesRoomForDecisions)
{
  constexpr int flood = 20000;
  BlockedStream stream;
  initialiseLogging(
    { LogLevel::Info, LogDelivery::Asynchronous, flood, &stream, 200 });
  for (int i = 0; i < flood; ++i)
    logEvent(LogLevel::Info, "task-started", { { "task", i } });
  for (int i = 0; i < 150; ++i)
    logDecision(LogLevel::Warning, "task-restarted", { { "task", i } });
  stream.open();
  stopLogging();
  std::map<std::string, int> counts;
  int suppressed = 0;
  std::istringstream lines(stream.text());
  for (std::string line; std::getline(lines, line);) {
    const auto record = nlohmann::json::parse(line);
    ++counts[record["event"]];
    if (record["event"] == "log-suppressed")
      suppressed += record["count"].get<int>();
  }
  EXPECT_EQ(counts["task-restarted"], 150);
  EXPECT_LT(counts["task-started"], flood);
  EXPECT_EQ(counts["task-started"] + suppressed, flood);
}

TEST(IdList, ListsTheFirstAndCountsAll)
{
  IdList ids;
  for (int i = 0; i < 25; ++i)
    ids.add(std::to_string(i));
  EXPECT_EQ(ids.count(), 25u);
  EXPECT_EQ(ids.text(), "0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19");
}

TEST(LogQueue, DecisionsAreBoundedByTheWholeQueue)
{
  QueueShare share(3, 2);
  EXPECT_TRUE(share.enter(LogRank::Frequent));
  EXPECT_FALSE(share.enter(LogRank::Frequent));
  EXPECT_TRUE(share.enter(LogRank::Decisive));
  EXPECT_TRUE(share.enter(LogRank::Decisive));
  EXPECT_FALSE(share.enter(LogRank::Decisive));
  share.leave();
  EXPECT_TRUE(share.enter(LogRank::Decisive));
}

INSTANTIATE_TEST_SUITE_P(BothDeliveries,
                         Logging,
                         testing::Values(LogDelivery::Synchronous,
                                         LogDelivery::Asynchronous));

} // namespace
} // namespace cowslippin
