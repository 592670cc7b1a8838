#include "platformstandinprocess.h"

#include "libplatform/platform.h"

#include <gtest/gtest.h>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using testing::PlatformStandinProcess;

const StreamName stream("config");
constexpr Duration longTimeout = testing::hangLimit;
constexpr Duration shortTimeout = milliseconds(150);
constexpr Duration longWait = std::chrono::seconds(10);

class Contract : public ::testing::Test
{
protected:
  Result<LogPage> readFrom(Offset from, Duration wait = Duration::zero())
  {
    return m_client.read(stream, from, 100, wait, longTimeout);
  }

  AppendResult append(const std::string& body, Duration timeout = longTimeout)
  {
    return m_client.append(stream, body, timeout);
  }

  void appendAll(const std::vector<std::string>& bodies)
  {
    for (const std::string& body : bodies) {
      ASSERT_TRUE(std::holds_alternative<Appended>(append(body)));
    }
  }

  PlatformStandinProcess m_platform;
  LogClient m_client{ m_platform.address() };
};

TEST_F(Contract, OffsetsStartAtOneAndPagesKeepToTheLimit)
{
  const std::string quoted = "{\"text\":\"\\u00e9\\n\xc3\xa9\"}";
  for (Offset expected = 1; expected <= 3; ++expected) {
    const AppendResult result = append(quoted);
    ASSERT_TRUE(std::holds_alternative<Appended>(result));
    EXPECT_EQ(std::get<Appended>(result).offset, expected);
  }
  const Result<LogPage> page =
    m_client.read(stream, 1, 2, Duration::zero(), longTimeout);
  ASSERT_TRUE(page);
  EXPECT_EQ(*page,
            LogPage(1, 4, { LogRecord(1, quoted), LogRecord(2, quoted) }));
  EXPECT_EQ(readFrom(4), LogPage(1, 4, {}));
}

TEST_F(Contract, ALongPollEndsWithTheRecord)
{
  std::thread writer([this] {
    LogClient other(m_platform.address());
    other.append(stream, "late", longTimeout);
  });
  const Result<LogPage> page = readFrom(1, longWait);
  writer.join();
  ASSERT_TRUE(page);
  EXPECT_EQ(*page, LogPage(1, 2, { LogRecord(1, "late") }));
}

TEST_F(Contract, RetentionMovesTheFirstOffset)
{
  m_platform.setFaults(R"({"retainRecords":2})");
  appendAll({ "a", "b", "c" });
  EXPECT_EQ(readFrom(1),
            LogPage(2, 4, { LogRecord(2, "b"), LogRecord(3, "c") }));
}

TEST_F(Contract, ALostAnswerIsUnknownAndTheRecordIsThereOnce)
{
  m_platform.setFaults(R"({"loseAppendAnswers":1})");
  EXPECT_TRUE(std::holds_alternative<AppendUnknown>(append("lost")));
  EXPECT_EQ(readFrom(1, longWait), LogPage(1, 2, { LogRecord(1, "lost") }));
}

TEST_F(Contract, AnAppendThatLandsLateIsUnknown)
{
  m_platform.setFaults(R"({"loseAppendAnswers":1,"landLateMs":100})");
  EXPECT_TRUE(std::holds_alternative<AppendUnknown>(append("late")));
  EXPECT_EQ(readFrom(1, longWait), LogPage(1, 2, { LogRecord(1, "late") }));
}

struct OutageCase
{
  const char* faults;
  Duration timeout;
  std::size_t end;
};

TEST_F(Contract, OutagesAreClassified)
{
  const std::size_t notAppended =
    AppendResult(NotAppended{ Problem(
                   ProblemKind::PlatformUnavailable, RunState::NotRun, "") })
      .index();
  const std::size_t unknown =
    AppendResult(AppendUnknown{ Problem(
                   ProblemKind::PlatformUnavailable, RunState::NotRun, "") })
      .index();
  const std::vector<OutageCase> cases = {
    { R"({"downMode":"refuse"})", longTimeout, notAppended },
    { R"({"downMode":"close"})", longTimeout, unknown },
    { R"({"downMode":"hang"})", shortTimeout, unknown },
  };
  for (const OutageCase& row : cases) {
    m_platform.setFaults(R"({"down":true})");
    m_platform.setFaults(row.faults);
    EXPECT_EQ(append("x", row.timeout).index(), row.end) << row.faults;
    EXPECT_FALSE(m_client.read(stream, 1, 1, Duration::zero(), row.timeout));
    m_platform.setFaults(R"({"down":false})");
    EXPECT_TRUE(readFrom(1)) << "after " << row.faults;
  }
}

TEST_F(Contract, BytesThatAreNoTextAreRefused)
{
  EXPECT_TRUE(std::holds_alternative<NotAppended>(append("\xff\xfe")));
}

TEST_F(Contract, ACutZoneHearsNothingAndOthersDo)
{
  m_platform.setFaults(R"({"cutZones":["z1"],"cutVms":["vm9"]})");
  VmListClient inside(m_platform.address(), { ZoneName("z1"), VmId("vm1") });
  VmListClient named(m_platform.address(), { ZoneName("z2"), VmId("vm9") });
  VmListClient outside(m_platform.address(), { ZoneName("z2"), VmId("vm2") });
  EXPECT_FALSE(inside.fetch(shortTimeout));
  EXPECT_FALSE(named.fetch(shortTimeout));
  EXPECT_TRUE(outside.fetch(longTimeout));
  m_platform.setFaults(R"({"cutZones":[]})");
  EXPECT_TRUE(inside.fetch(longTimeout));
}

TEST_F(Contract, AnUnchangedVmListIsNotSentAgain)
{
  const char* list = R"({"vms":[{"id":"w","role":"worker","zone":"z",
                         "state":"live"}],"endpoints":[]})";
  VmListClient client(m_platform.address());
  m_platform.setVms(list);
  const auto none = client.fetchUnless(1, longTimeout);
  ASSERT_TRUE(none);
  EXPECT_FALSE(*none);
  // An older and a newer list than the one known are both sent.
  m_platform.setVms(list);
  for (const std::uint64_t known : { 0, 1, 3 }) {
    const auto sent = client.fetchUnless(known, longTimeout);
    ASSERT_TRUE(sent && *sent) << known;
    EXPECT_EQ((*sent)->version(), 2u);
    EXPECT_NE((*sent)->find(VmId("w")), nullptr);
  }
}

TEST_F(Contract, TheVmListLags)
{
  VmListClient client(m_platform.address());
  m_platform.setFaults(R"({"vmListLagMs":3600000})");
  m_platform.setVms(R"({"vms":[{"id":"w","role":"worker","zone":"z",
                       "state":"live"}],"endpoints":[]})");
  EXPECT_EQ(client.fetch(longTimeout), VmList());
  m_platform.setFaults(R"({"vmListLagMs":0})");
  const Result<VmList> list = client.fetch(longTimeout);
  ASSERT_TRUE(list);
  EXPECT_EQ(list->version(), 1u);
  EXPECT_NE(list->find(VmId("w")), nullptr);
}

} // namespace

} // namespace cowslippin
