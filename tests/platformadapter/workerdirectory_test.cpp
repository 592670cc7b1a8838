#include "platform/workerdirectory.h"

#include <gtest/gtest.h>

#include <string>

namespace cowslippin::testing {
namespace {

using platform::WorkerDirectory;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string
entry(std::int64_t born, const std::string& address = "10.1.0.9:8080")
{
  return R"({"backend":"booking","zone":"z1","state":"ready","address":")" +
         address + R"(","capacity":{"cpu":16000,"mem_mb":1000},"born":)" +
         std::to_string(born) + "}";
}

/// A directory whose store has been reachable for long.
class WorkerDirectoryTest : public ::testing::Test
{
protected:
  WorkerDirectoryTest() { directory.update("w1", entry(5), now); }

  const WorkerRecord& worker() const
  {
    return directory.workers().at(WorkerId("w1"));
  }

  TimePoint now{ seconds(1000) };
  WorkerDirectory directory;
};

TEST_F(WorkerDirectoryTest, AcceptsTheEntryOfARestartedWorker)
{
  directory.update("w1", entry(6, "10.1.0.10:8080"), now);
  EXPECT_EQ(worker().bootTime(), WorkerBootTime(6));
  EXPECT_EQ(worker().address(), Address("10.1.0.10", 8080));
}

TEST_F(WorkerDirectoryTest, IgnoresALateEntryOfAnEarlierProcess)
{
  directory.update("w1", entry(4, "10.1.0.10:8080"), now + seconds(1));
  EXPECT_EQ(worker().bootTime(), WorkerBootTime(5));
  EXPECT_EQ(worker().address(), Address("10.1.0.9", 8080));
}

TEST_F(WorkerDirectoryTest,
       AcceptsAnEarlierBirthWhenTheOtherProcessHasStoppedRenewing)
{
  for (int i = 0; i < 5; ++i)
    directory.update("w1", entry(4), now + milliseconds(1500 * i));
  EXPECT_EQ(worker().bootTime(), WorkerBootTime(4))
    << "the worker's clock was set back";
}

TEST_F(WorkerDirectoryTest, RemovesAWorkerWhoseEntryWasRemoved)
{
  directory.update("w1", "", now);
  EXPECT_TRUE(directory.workers().empty());
}

TEST_F(WorkerDirectoryTest, KeepsWorkersWhoseEntriesExpiredInAStoreOutage)
{
  directory.update("w2", entry(5), now);
  directory.noteStoreReachable(now);
  directory.replaceAll({}, now + milliseconds(10));
  EXPECT_EQ(directory.workers().size(), 2u);
  directory.update("w1", entry(5), now + seconds(2));
  directory.takeChangedFlag();
  directory.tick(now + milliseconds(2400));
  EXPECT_FALSE(directory.takeChangedFlag());
  directory.tick(now + milliseconds(2600));
  EXPECT_TRUE(directory.takeChangedFlag());
  ASSERT_EQ(directory.workers().size(), 1u);
  EXPECT_EQ(worker().id(), WorkerId("w1"));
}

/// 3000 workers renew their entries every 1.5 s. Each renewal that
/// counted as a change would be decoded and relayed to all peers.
TEST_F(WorkerDirectoryTest, ARenewalIsNotAChange)
{
  const auto renewed = [](int sequence, const std::string& state) {
    std::string text = entry(5);
    text.insert(1,
                "\"seq\":" + std::to_string(sequence) + ",\"labels\":[\"" +
                  state + "\"],");
    return text;
  };
  directory.update("w1", renewed(9, "a"), now);
  EXPECT_TRUE(directory.takeChangedFlag());
  EXPECT_FALSE(directory.takeChangedFlag());
  for (int sequence = 10; sequence < 13; ++sequence)
    directory.update("w1", renewed(sequence, "a"), now);
  EXPECT_FALSE(directory.takeChangedFlag());
  directory.update("w1", renewed(13, "b"), now);
  EXPECT_TRUE(directory.takeChangedFlag());
  EXPECT_TRUE(worker().hasLabel("b"));
  directory.update("w1", "", now);
  EXPECT_TRUE(directory.takeChangedFlag());
}

TEST_F(WorkerDirectoryTest, ARenewedProcessIsNotReplacedByAnEarlierOne)
{
  for (int i = 1; i < 8; ++i)
    directory.update("w1", entry(5), now + seconds(i));
  directory.update("w1", entry(4), now + seconds(8));
  EXPECT_EQ(worker().bootTime(), WorkerBootTime(5));
}

TEST_F(WorkerDirectoryTest, ReturnsTheEntriesThatHaveChanged)
{
  directory.takeChangedEntries();
  directory.update("w1", entry(5), now);
  EXPECT_TRUE(directory.takeChangedEntries().empty()) << "a renewal";
  directory.update("w1", entry(6), now);
  directory.update("w2", entry(1), now);
  directory.update("w2", "", now);
  const std::map<std::string, std::string> changes = { { "w1", entry(6) },
                                                       { "w2", "" } };
  EXPECT_EQ(directory.takeChangedEntries(), changes);
  EXPECT_TRUE(directory.takeChangedEntries().empty());
}

TEST_F(WorkerDirectoryTest, EntriesThatAPeerRelayDoesNotMentionCountAsRenewed)
{
  directory.notePeerRelay(now + seconds(9));
  directory.update("w1", entry(4), now + seconds(10));
  EXPECT_EQ(worker().bootTime(), WorkerBootTime(5));
}

TEST_F(WorkerDirectoryTest, AnInvalidEntryRemovesItsWorkerOnly)
{
  directory.update("w2", entry(5), now);
  directory.update("w2", R"({"born":"yesterday"})", now);
  directory.update("w3", "no JSON", now);
  EXPECT_EQ(directory.workers().size(), 1u);
  EXPECT_EQ(worker().bootTime(), WorkerBootTime(5));
}

} // namespace
} // namespace cowslippin::testing
